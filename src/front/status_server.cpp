#include "zinniagauge/front/status_server.h"

#include <sys/epoll.h>
#include <unistd.h>

namespace zinniagauge {

namespace {

/// Visitors at once; the platform asks once a second.
constexpr std::size_t MostVisitors = 16;

/// Header bytes of a request.
constexpr std::size_t MostHead = 4096;

void forget(StatusConnection &v) {
  const auto it = v.Owner->Connections.find(&v);
  if (it == v.Owner->Connections.end())
    return;
  deleteLater(*v.Owner->EventLoop, it->second);
  v.Owner->Connections.erase(it);
}

void onEnd(void *ctx, ConnectionEnd /*how*/, int /*err*/) {
  forget(*static_cast<StatusConnection *>(ctx));
}

void answerOne(StatusConnection &v) {
  const MessageHead &head = headOf(v.Parser);
  const std::string_view target = head.Target;
  const StatusResponse text =
      v.Owner->Handler(target.substr(0, target.find('?')));
  std::string out;
  writeStatusLine(out, text.Status);
  writeField(out, "Content-Type", "text/plain; version=0.0.4");
  writeField(out, "Content-Length", std::uint64_t{text.Body.size()});
  if (!head.KeepAlive)
    writeField(out, "Connection", "close");
  out.append("\r\n").append(text.Body);
  const bool keep = head.KeepAlive;
  v.Parser.State.reset();
  send(v.Tcp, out);
  if (keep)
    return;
  closeAfterSending(v.Tcp);
  if (!isOpen(v.Tcp))
    forget(v);
}

std::size_t onData(void *ctx, std::string_view part) {
  StatusConnection &v = *static_cast<StatusConnection *>(ctx);
  std::size_t taken = 0;
  while (taken < part.size() && isOpen(v.Tcp)) {
    if (!v.Parser.State)
      beginMessage(v.Parser, MessageKind::Request, MostHead, MostHead);
    const std::size_t n = readMessage(v.Parser, part.substr(taken), v.Body);
    taken += n;
    v.Body.clear();
    const ParseState st = stateOf(v.Parser);
    if (st == ParseState::Done) {
      answerOne(v);
    } else if (st != ParseState::InHead && st != ParseState::InBody) {
      close(v.Tcp);
      forget(v);
      return part.size();
    } else if (n == 0) {
      break;
    }
  }
  return taken;
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

void onAccept(void *ctx, std::uint32_t /*events*/) {
  StatusServer &port = *static_cast<StatusServer *>(ctx);
  for (;;) {
    const int fd = acceptFrom(port.Listener.Fd);
    if (fd < 0)
      return;
    if (port.Connections.size() >= MostVisitors) {
      const auto oldest = port.Connections.begin()->second;
      close(oldest->Tcp);
      forget(*oldest);
    }
    auto v = std::make_shared<StatusConnection>();
    v->Owner = &port;
    port.Connections.emplace(v.get(), v);
    adopt(v->Tcp, *port.EventLoop, fd, Handlers, v.get());
  }
}

} // namespace

StatusServer::~StatusServer() {
  if (Listener.Fd >= 0)
    ::close(Listener.Fd);
}

Result<void>
startStatusServer(StatusServer &port, Loop &lp, PeerAddress at,
                  std::function<StatusResponse(std::string_view path)> answer) {
  BOOST_LEAF_AUTO(fd, listenAt(at));
  port.EventLoop = &lp;
  port.Handler = std::move(answer);
  port.Listener.Fd = fd;
  port.Listener.Fn = onAccept;
  port.Listener.Ctx = &port;
  watch(lp, port.Listener, EPOLLIN);
  return {};
}

} // namespace zinniagauge
