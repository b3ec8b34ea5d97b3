#include "zinniagauge/front/status_port.h"

#include <sys/epoll.h>
#include <unistd.h>

namespace zinniagauge {

namespace {

/// Visitors at once; the platform asks once a second.
constexpr std::size_t MostVisitors = 16;

/// Header bytes of a request.
constexpr std::size_t MostHead = 4096;

void forget(StatusVisitor &v) {
  const auto it = v.Owner->Visitors.find(&v);
  if (it == v.Owner->Visitors.end())
    return;
  endLater(*v.Owner->Lp, it->second);
  v.Owner->Visitors.erase(it);
}

void onEnd(void *ctx, ChannelEnd /*how*/, int /*err*/) {
  forget(*static_cast<StatusVisitor *>(ctx));
}

void answerOne(StatusVisitor &v) {
  const MessageHead &head = headOf(v.Parser);
  const std::string_view target = head.Target;
  const StatusText text = v.Owner->Answer(target.substr(0, target.find('?')));
  std::string out;
  writeStatus(out, text.Status);
  writeField(out, "Content-Type", "text/plain; version=0.0.4");
  writeField(out, "Content-Length", std::uint64_t{text.Body.size()});
  if (!head.KeepAlive)
    writeField(out, "Connection", "close");
  out.append("\r\n").append(text.Body);
  const bool keep = head.KeepAlive;
  v.Parser.St.reset();
  send(v.Ch, out);
  if (keep)
    return;
  closeAfterSending(v.Ch);
  if (!isOpen(v.Ch))
    forget(v);
}

std::size_t onData(void *ctx, std::string_view part) {
  StatusVisitor &v = *static_cast<StatusVisitor *>(ctx);
  std::size_t taken = 0;
  while (taken < part.size() && isOpen(v.Ch)) {
    if (!v.Parser.St)
      beginMessage(v.Parser, MessageKind::Request, MostHead, MostHead);
    const std::size_t n = readMessage(v.Parser, part.substr(taken), v.Body);
    taken += n;
    v.Body.clear();
    const ParseState st = stateOf(v.Parser);
    if (st == ParseState::Done) {
      answerOne(v);
    } else if (st != ParseState::InHead && st != ParseState::InBody) {
      close(v.Ch);
      forget(v);
      return part.size();
    } else if (n == 0) {
      break;
    }
  }
  return taken;
}

const ChannelHandlers Handlers = {nullptr, onData, onEnd, nullptr};

void onAccept(void *ctx, std::uint32_t /*events*/) {
  StatusPort &port = *static_cast<StatusPort *>(ctx);
  for (;;) {
    const int fd = acceptFrom(port.Listener.Fd);
    if (fd < 0)
      return;
    if (port.Visitors.size() >= MostVisitors) {
      const auto oldest = port.Visitors.begin()->second;
      close(oldest->Ch);
      forget(*oldest);
    }
    auto v = std::make_shared<StatusVisitor>();
    v->Owner = &port;
    port.Visitors.emplace(v.get(), v);
    adopt(v->Ch, *port.Lp, fd, Handlers, v.get());
  }
}

} // namespace

StatusPort::~StatusPort() {
  if (Listener.Fd >= 0)
    ::close(Listener.Fd);
}

Result<void>
serveStatus(StatusPort &port, Loop &lp, PeerAddress at,
            std::function<StatusText(std::string_view path)> answer) {
  BOOST_LEAF_AUTO(fd, listenAt(at));
  port.Lp = &lp;
  port.Answer = std::move(answer);
  port.Listener.Fd = fd;
  port.Listener.Fn = onAccept;
  port.Listener.Ctx = &port;
  watch(lp, port.Listener, EPOLLIN);
  return {};
}

} // namespace zinniagauge
