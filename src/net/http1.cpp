// HTTP/1.1 parsing by Boost.Beast, and writing of messages.
#include "zinniagauge/net/http1.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <variant>

namespace zinniagauge {

namespace http = boost::beast::http;
using BeastView = boost::beast::string_view;
using BeastError = boost::beast::error_code;

namespace {

std::string_view toStdView(BeastView v) noexcept {
  return {v.data(), v.size()};
}

BeastView beast(std::string_view v) noexcept { return {v.data(), v.size()}; }

/// The parts of a message that were parsed so far.
struct ParsedMessage {
  MessageHead Head;
  bool HeadDone = false;
  std::string *Body = nullptr;
  std::uint64_t Chunks = 0;
  std::uint64_t BodyBytes = 0;
};

/// Framing of a chunk that doesn't count towards the limit, beside twice its
/// size.
constexpr std::uint64_t FreeBytesPerChunk = 16;

/// Callbacks of Beast's parser, which store the message.
template <bool IsRequest>
class BeastParser final : public http::basic_parser<IsRequest> {
public:
  explicit BeastParser(ParsedMessage &msg) noexcept : Message(msg) {}

private:
  void on_request_impl(http::verb /*verb*/, BeastView method, BeastView target,
                       int /*version*/, BeastError & /*ec*/) override {
    Message.Head.Method = toStdView(method);
    Message.Head.Target = toStdView(target);
  }
  void on_response_impl(int status, BeastView /*reason*/, int /*version*/,
                        BeastError &ec) override {
    Message.Head.Status = status;
    constexpr int MinStatus = 100;
    constexpr int MaxStatus = 599;
    if (status < MinStatus || status > MaxStatus)
      ec = http::error::bad_status;
  }
  void on_field_impl(http::field /*field*/, BeastView name, BeastView value,
                     BeastError & /*ec*/) override {
    if (!Message.HeadDone) // Trailer fields are dropped.
      addField(Message.Head.Fields, toStdView(name), toStdView(value));
  }
  void on_header_impl(BeastError & /*ec*/) override { Message.HeadDone = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                         BeastError & /*ec*/) override {}
  std::size_t on_body_impl(BeastView body, BeastError & /*ec*/) override {
    return appendBody(body);
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, BeastView /*extensions*/,
                            BeastError & /*ec*/) override {
    ++Message.Chunks;
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, BeastView body,
                                 BeastError & /*ec*/) override {
    return appendBody(body);
  }
  void on_finish_impl(BeastError & /*ec*/) override {}

  std::size_t appendBody(BeastView body) {
    Message.Body->append(body.data(), body.size());
    Message.BodyBytes += body.size();
    return body.size();
  }

  ParsedMessage &Message;
};

ParseState failureOf(const BeastError &ec) noexcept {
  if (ec == http::error::header_limit)
    return ParseState::HeadTooLarge;
  if (ec == http::error::body_limit)
    return ParseState::BodyTooLarge;
  return ParseState::Malformed;
}

} // namespace

namespace impl {

struct ParserState {
  ParsedMessage Message;
  std::variant<BeastParser<true>, BeastParser<false>> Parser;
  ParseState State = ParseState::InHead;
  bool Begun = false;
  std::size_t MaxHeadBytes = 0;
  std::size_t HeadBytes = 0;        // Consumed.
  std::uint64_t AfterHeadBytes = 0; // Consumed, body and framing.

  explicit ParserState(bool request)
      : Parser(std::in_place_type<BeastParser<true>>, Message) {
    if (!request)
      Parser.emplace<BeastParser<false>>(Message);
  }
};

void ParserStateDelete::operator()(ParserState *st) const noexcept {
  delete st;
}

} // namespace impl

namespace {

/// Stores how the message's header treats the connection. From here on a call
/// of the parser reads as much as it can; before, it stops after the header,
/// whose bytes are so told from the body's.
void recordHead(impl::ParserState &st) {
  std::visit(
      [&](auto &p) {
        st.Message.Head.KeepAlive = p.keep_alive();
        st.Message.Head.EndsAtClose = p.need_eof();
        p.eager(true);
      },
      st.Parser);
}

/// Counts \p taken bytes that the parser has consumed; \p left more have
/// arrived and belong to a part that isn't complete. Returns the state InHead
/// or InBody if the message is within its limits, else why it isn't.
ParseState countBytes(impl::ParserState &st, std::size_t taken,
                      std::size_t left) {
  if (st.State == ParseState::InHead) {
    st.HeadBytes += taken;
    return st.HeadBytes + left > st.MaxHeadBytes ? ParseState::HeadTooLarge
                                                 : ParseState::InHead;
  }
  st.AfterHeadBytes += taken;
  const ParsedMessage &msg = st.Message;
  const std::uint64_t framing = st.AfterHeadBytes - msg.BodyBytes + left;
  const std::uint64_t allowed =
      st.MaxHeadBytes + FreeBytesPerChunk * msg.Chunks + 2 * msg.BodyBytes;
  return left > st.MaxHeadBytes || framing > allowed
             ? ParseState::FramingTooLarge
             : ParseState::InBody;
}

/// Whether the body has a transfer coding other than chunked. Its length is
/// then unknown, and two parsers may disagree on where the next message starts.
bool hasOtherCoding(const impl::ParserState &st) {
  const bool chunked =
      std::visit([](const auto &p) { return p.chunked(); }, st.Parser);
  return !chunked && findField(st.Message.Head.Fields, "Transfer-Encoding");
}

} // namespace

using impl::ParserState;

void addField(HeaderList &list, std::string_view name, std::string_view value) {
  list.Spans.push_back({static_cast<std::uint32_t>(list.Text.size()),
                        static_cast<std::uint32_t>(name.size()),
                        static_cast<std::uint32_t>(value.size())});
  list.Text.append(name).append(value);
}

HeaderField fieldAt(const HeaderList &list, std::size_t n) noexcept {
  const HeaderList::FieldSpan &sp = list.Spans[n];
  const std::string_view text = list.Text;
  return {text.substr(sp.Name, sp.NameBytes),
          text.substr(sp.Name + sp.NameBytes, sp.ValueBytes)};
}

std::optional<std::string_view> findField(const HeaderList &list,
                                          std::string_view name) noexcept {
  for (std::size_t n = 0; n < list.Spans.size(); ++n) {
    const HeaderField f = fieldAt(list, n);
    if (equalsIgnoreCase(f.Name, name))
      return f.Value;
  }
  return std::nullopt;
}

bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() && boost::beast::iequals(beast(a), beast(b));
}

void beginMessage(MessageParser &p, MessageKind kind, std::size_t maxhead,
                  std::uint64_t maxbody) {
  p.State.reset(new ParserState(kind == MessageKind::Request));
  p.State->MaxHeadBytes = maxhead;
  std::visit(
      [&](auto &parser) {
        parser.header_limit(static_cast<std::uint32_t>(maxhead));
        parser.body_limit(maxbody);
        if (kind == MessageKind::ResponseToHead)
          parser.skip(true);
      },
      p.State->Parser);
}

std::size_t readMessage(MessageParser &p, std::string_view part,
                        std::string &body) {
  ParserState &st = *p.State;
  st.Message.Body = &body;
  std::size_t taken = 0;
  while (taken < part.size() &&
         (st.State == ParseState::InHead || st.State == ParseState::InBody)) {
    st.Begun = true;
    BeastError ec;
    const std::size_t n = std::visit(
        [&](auto &parser) {
          return parser.put(
              boost::asio::buffer(part.data() + taken, part.size() - taken),
              ec);
        },
        st.Parser);
    taken += n;
    if (ec && ec != http::error::need_more) {
      st.State = failureOf(ec);
      break;
    }
    st.State = countBytes(
        st, n, ec == http::error::need_more ? part.size() - taken : 0);
    if (hasFailed(p))
      break;
    if (st.State == ParseState::InHead && st.Message.HeadDone) {
      recordHead(st);
      st.State = ParseState::InBody;
      if (hasOtherCoding(st)) {
        st.State = ParseState::Malformed;
        break;
      }
    }
    if (std::visit([](auto &parser) { return parser.is_done(); }, st.Parser))
      st.State = ParseState::Done;
    if (ec == http::error::need_more || n == 0)
      break;
  }
  return taken;
}

void endOfInput(MessageParser &p) {
  ParserState &st = *p.State;
  if (st.State != ParseState::InBody)
    return;
  BeastError ec;
  std::visit([&](auto &parser) { parser.put_eof(ec); }, st.Parser);
  st.State = ec ? ParseState::Malformed : ParseState::Done;
}

bool hasFailed(const MessageParser &p) noexcept {
  const ParseState st = p.State->State;
  return st != ParseState::InHead && st != ParseState::InBody &&
         st != ParseState::Done;
}

ParseState stateOf(const MessageParser &p) noexcept { return p.State->State; }

const MessageHead &headOf(const MessageParser &p) noexcept {
  return p.State->Message.Head;
}

bool mayHaveBody(int status) noexcept {
  return status / 100 != 1 && status != 204 && status != 304;
}

bool hasBegun(const MessageParser &p) noexcept {
  return p.State && p.State->Begun;
}

bool isHopByHopField(std::string_view name,
                     std::string_view connection) noexcept {
  constexpr std::array<std::string_view, 8> HopByHop = {
      "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate",
      "TE",         "Trailer",    "Transfer-Encoding", "Upgrade"};
  if (std::any_of(HopByHop.begin(), HopByHop.end(), [&](std::string_view h) {
        return equalsIgnoreCase(h, name);
      }))
    return true;
  return !connection.empty() &&
         http::token_list(beast(connection)).exists(beast(name));
}

void writeField(std::string &out, std::string_view name,
                std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void writeField(std::string &out, std::string_view name, std::uint64_t value) {
  std::array<char, 24> buf{};
  const auto res = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  writeField(out, name,
             std::string_view(buf.data(),
                              static_cast<std::size_t>(res.ptr - buf.data())));
}

void writeStatusLine(std::string &out, int status) {
  const auto code = static_cast<unsigned>(status);
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out.append(toStdView(http::obsolete_reason(http::int_to_status(code))));
  out.append("\r\n");
}

void writeChunk(std::string &out, std::string_view part) {
  std::array<char, 20> buf{};
  const auto res =
      std::to_chars(buf.data(), buf.data() + buf.size(), part.size(), 16);
  out.append(buf.data(), static_cast<std::size_t>(res.ptr - buf.data()));
  out.append("\r\n").append(part).append("\r\n");
}

} // namespace zinniagauge
