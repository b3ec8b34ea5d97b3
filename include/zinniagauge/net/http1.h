// HTTP/1.1 messages as they arrive, by Boost.Beast's parser, and as they leave.
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

/// One header field; the views are of the list that it is from.
struct HeaderField {
  std::string_view Name;
  std::string_view Value;
};

/// Header fields in the order in which they came, in one piece of memory.
struct HeaderList {
  struct FieldSpan {
    std::uint32_t Name = 0; // Offset; the value follows it.
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

/// The value of the first field called \p name, in any case of letters.
[[nodiscard]] std::optional<std::string_view>
findField(const HeaderList &list, std::string_view name) noexcept;

/// Whether \p a and \p b are the same but for the case of ASCII letters.
[[nodiscard]] bool equalsIgnoreCase(std::string_view a,
                                    std::string_view b) noexcept;

/// A message's start line and header.
struct MessageHead {
  std::string Method; // Of a request.
  std::string Target; // Of a request.
  int Status = 0;     // Of an answer.
  HeaderList Fields;
  bool KeepAlive = false;   // The sender will go on using the connection.
  bool EndsAtClose = false; // An answer without a length.
};

/// What a parser reads.
enum class MessageKind : std::uint8_t { Request, Response, ResponseToHead };

/// How far a message is.
enum class ParseState : std::uint8_t {
  InHead,       ///< The header isn't complete.
  InBody,       ///< The header is known, the body isn't complete.
  Done,         ///< The message is complete.
  HeadTooLarge, ///< Over the limit of header bytes.
  BodyTooLarge, ///< Over the limit of body bytes.
  Malformed,    ///< No HTTP, or its length is stated in two ways.
};

namespace impl {
struct ParserState;
struct ParserStateDelete {
  void operator()(ParserState *st) const noexcept;
};
} // namespace impl

/// Reads one message.
struct MessageParser {
  std::unique_ptr<impl::ParserState, impl::ParserStateDelete> State;
};

/// Makes \p p ready for a message. A part of the body is appended to \p body
/// as it comes.
void beginMessage(MessageParser &p, MessageKind kind, std::size_t mosthead,
                  std::uint64_t mostbody);

/// Reads from \p part and gives how many bytes it took; stops after the header
/// and at the end of the message. Body bytes are appended to \p body.
std::size_t readMessage(MessageParser &p, std::string_view part,
                        std::string &body);

/// The sender closed the connection in order. Done only if that ends the
/// message.
void endOfInput(MessageParser &p);

[[nodiscard]] ParseState stateOf(const MessageParser &p) noexcept;

/// The header, once the state is past InHead.
[[nodiscard]] const MessageHead &headOf(const MessageParser &p) noexcept;

/// Whether any byte of the message has arrived.
[[nodiscard]] bool hasBegun(const MessageParser &p) noexcept;

/// Whether a field belongs to one connection rather than to the message;
/// \p connection is the value of the Connection field.
[[nodiscard]] bool isHopByHopField(std::string_view name,
                                   std::string_view connection) noexcept;

/// Appends "Name: value\r\n".
void writeField(std::string &out, std::string_view name,
                std::string_view value);
void writeField(std::string &out, std::string_view name, std::uint64_t value);

/// Appends the start line of an answer.
void writeStatusLine(std::string &out, int status);

/// Appends \p part as one chunk.
void writeChunk(std::string &out, std::string_view part);

/// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_HTTP1_H
