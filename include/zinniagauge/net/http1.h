// Incremental parsing of HTTP/1.1 messages by Boost.Beast, and writing of
// messages.
#ifndef ZINNIAGAUGE_NET_HTTP1_H
#define ZINNIAGAUGE_NET_HTTP1_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// One header field; the views point into its HeaderList.
struct HeaderField {
  std::string_view Name;
  std::string_view Value;
};

/// Header fields in the order of arrival, stored in one string.
struct HeaderList {
  struct FieldSpan {
    std::uint32_t Name = 0; // Offset in Text; the value follows the name.
    std::uint32_t NameBytes = 0;
    std::uint32_t ValueBytes = 0;
  };
  std::string Text;
  std::vector<FieldSpan> Spans;
};

/// Appends a field.
void addField(HeaderList &list, std::string_view name, std::string_view value);

/// The field with index \p n, below list.Spans.size().
[[nodiscard]] HeaderField fieldAt(const HeaderList &list,
                                  std::size_t n) noexcept;

/// The value of the first field with the name \p name, ignoring case.
[[nodiscard]] std::optional<std::string_view>
findField(const HeaderList &list, std::string_view name) noexcept;

/// Whether \p a and \p b are equal, ignoring the case of ASCII letters.
[[nodiscard]] bool equalsIgnoreCase(std::string_view a,
                                    std::string_view b) noexcept;

/// A message's start line and header.
struct MessageHead {
  std::string Method; // Requests only.
  std::string Target; // Requests only.
  int Status = 0;     // Responses only.
  HeaderList Fields;
  bool KeepAlive = false;   // The sender keeps the connection open.
  bool EndsAtClose = false; // A response that ends with its connection.
};

/// The kind of message to parse. The response to a HEAD request has no body.
enum class MessageKind : std::uint8_t { Request, Response, ResponseToHead };

/// The progress or failure of parsing a message.
enum class ParseState : std::uint8_t {
  InHead,       ///< The header isn't complete.
  InBody,       ///< The header is complete, the body isn't.
  Done,         ///< The message is complete.
  HeadTooLarge, ///< The header exceeds its limit.
  BodyTooLarge, ///< The body exceeds its limit.
  /// Chunk sizes, chunk extensions or the trailer exceed the header's limit.
  FramingTooLarge,
  /// Invalid HTTP, a status outside 100 to 599, or the body's length is
  /// ambiguous.
  Malformed,
};

namespace impl {
struct ParserState;
struct ParserStateDelete {
  void operator()(ParserState *st) const noexcept;
};
} // namespace impl

/// Parses one message at a time; beginMessage creates the state.
struct MessageParser {
  std::unique_ptr<impl::ParserState, impl::ParserStateDelete> State;
};

/// Prepares \p p for a new message with limits for its header and body, in
/// bytes. The header's limit also applies to the trailer and to what chunked
/// coding adds to the body beyond a few bytes for each chunk.
void beginMessage(MessageParser &p, MessageKind kind, std::size_t maxhead,
                  std::uint64_t maxbody);

/// Parses \p part and returns the number of bytes consumed; stops at the end of
/// the message. Body bytes are appended to \p body as they arrive. While the
/// state is InHead or InBody, what isn't consumed is within the header's limit.
std::size_t readMessage(MessageParser &p, std::string_view part,
                        std::string &body);

/// Called when the sender has closed the connection in order. The state becomes
/// Done if that ends the message, else Malformed; it stays if no header was
/// read.
void endOfInput(MessageParser &p);

/// Whether the message can't be read: the state is none of InHead, InBody and
/// Done.
[[nodiscard]] bool hasFailed(const MessageParser &p) noexcept;

/// The state of the message; beginMessage must have been called.
[[nodiscard]] ParseState stateOf(const MessageParser &p) noexcept;

/// The header; complete once the state is past InHead.
[[nodiscard]] const MessageHead &headOf(const MessageParser &p) noexcept;

/// Whether a response with \p status may have a body. One to a HEAD request has
/// none, whatever its status.
[[nodiscard]] bool mayHaveBody(int status) noexcept;

/// Whether any byte of the message has arrived.
[[nodiscard]] bool hasBegun(const MessageParser &p) noexcept;

/// Whether the field \p name is hop-by-hop, so that it isn't forwarded.
/// \p connection is the value of the message's Connection field.
[[nodiscard]] bool isHopByHopField(std::string_view name,
                                   std::string_view connection) noexcept;

/// Appends "Name: value\r\n".
void writeField(std::string &out, std::string_view name,
                std::string_view value);
void writeField(std::string &out, std::string_view name, std::uint64_t value);

/// Appends the status line of a response.
void writeStatusLine(std::string &out, int status);

/// Appends \p part as one chunk of a chunked body.
void writeChunk(std::string &out, std::string_view part);

/// The last chunk, which ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_HTTP1_H
