#include "http_connection.h"

#include "zinniagauge/adapt/problem.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace zinniagauge::impl {

namespace {

/// The most that may wait for a caller that doesn't read.
constexpr std::size_t MostPendingBytes = std::size_t{64} << 20U;

/// How long a refused caller may take to read why.
constexpr Duration RefusedTime = std::chrono::seconds(2);

/// After this long without an acknowledgement of what was written, a
/// connection that still looks open counts as broken.
constexpr int UnacknowledgedMs = 30'000;

constexpr std::uint64_t InboxKey = ~std::uint64_t{0};

/// Writes as much of \p bytes as the socket takes; nothing if it is broken.
std::optional<std::size_t> writeSome(HttpConnection &conn,
                                     std::string_view bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = ::send(conn.Fd, bytes.data() + done, bytes.size() - done,
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n >= 0)
      done += static_cast<std::size_t>(n);
    else if (errno == EAGAIN || errno == EWOULDBLOCK)
      break;
    else if (errno != EINTR)
      return std::nullopt;
  }
  return done;
}

void endWriting(HttpConnection &conn) noexcept { ::shutdown(conn.Fd, SHUT_WR); }

Duration ageOf(const HttpConnection &conn, Time now) {
  return now - fromNanos(conn.SinceNanos.load());
}

} // namespace

HttpConnection::HttpConnection(int own, std::uint64_t id, std::size_t max)
    : Fd(own), Id(id), SinceNanos(toNanos(monotonicNow())), Parser(max) {
  const int on = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ::setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedMs,
               sizeof(UnacknowledgedMs));
}

HttpConnection::~HttpConnection() { ::close(Fd); }

void touch(HttpConnection &conn) noexcept {
  conn.SinceNanos.store(toNanos(monotonicNow()));
}

void cut(HttpConnection &conn) noexcept { ::shutdown(conn.Fd, SHUT_RDWR); }

bool writeTo(const std::shared_ptr<HttpConnection> &conn, HttpKeeper &keeper,
             std::string_view bytes) {
  if (conn->Gone.load())
    return false;
  if (conn->Pending.load() == 0) {
    const auto done = writeSome(*conn, bytes);
    if (!done) {
      conn->Gone.store(true);
      return false;
    }
    bytes.remove_prefix(*done);
  }
  if (bytes.empty())
    return true;
  if (conn->Pending.fetch_add(bytes.size()) + bytes.size() > MostPendingBytes) {
    cut(*conn);
    return false;
  }
  keeper.post({KeeperMessage::Kind::Write, conn, std::string(bytes)});
  return true;
}

void endAfterWrites(const std::shared_ptr<HttpConnection> &conn,
                    HttpKeeper &keeper) {
  if (conn->Pending.load() == 0)
    endWriting(*conn);
  else
    keeper.post({KeeperMessage::Kind::End, conn, {}});
}

std::string answerHead(int status, std::span<const HttpHeader> headers,
                       bool keepopen, std::optional<std::size_t> length) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status));
  head += "\r\n";
  for (const HttpHeader &h : headers)
    head.append(h.Name).append(": ").append(h.Value).append("\r\n");
  head += keepopen ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
  if (length)
    head += "Content-Length: " + std::to_string(*length) + "\r\n\r\n";
  else
    head += "Transfer-Encoding: chunked\r\n\r\n";
  return head;
}

void refuse(const std::shared_ptr<HttpConnection> &conn, HttpKeeper &keeper,
            int status, std::string_view why) {
  auto expected = ConnectionPhase::Idle;
  if (!conn->Phase.compare_exchange_strong(expected,
                                           ConnectionPhase::Refused)) {
    conn->CloseAfter.store(true);
    return;
  }
  touch(*conn);
  const Error err{ErrorCode::Invalid, Step::Receive, {}, std::string(why)};
  const std::string body = problemJson(err, Outcome::NotRun, RequestId{});
  const std::array headers = {
      HttpHeader{"Content-Type", "application/problem+json"},
      HttpHeader{std::string(OutcomeHeader),
                 std::string(toString(Outcome::NotRun))}};
  writeTo(conn, keeper, answerHead(status, headers, false, body.size()) + body);
  endAfterWrites(conn, keeper);
}

HttpKeeper::HttpKeeper(const HttpServerOptions &opt)
    : Opt(opt), Poll(::epoll_create1(EPOLL_CLOEXEC)) {
  epoll_event ev{.events = EPOLLIN, .data = {.u64 = InboxKey}};
  ::epoll_ctl(Poll, EPOLL_CTL_ADD, Inbox.fd(), &ev);
  Thread = std::thread([this] { run(); });
}

HttpKeeper::~HttpKeeper() {
  stop();
  ::close(Poll);
}

void HttpKeeper::post(KeeperMessage msg) {
  Inbox.post(std::make_unique<KeeperMessage>(std::move(msg)));
}

void HttpKeeper::stop() {
  if (!Thread.joinable())
    return;
  post({KeeperMessage::Kind::Stop, {}, {}});
  Thread.join();
}

void HttpKeeper::run() {
  std::array<epoll_event, 64> events{};
  while (!Stopped) {
    const int n = ::epoll_wait(Poll, events.data(), events.size(), -1);
    for (int i = 0; i < n; ++i) {
      const std::uint64_t key = events[static_cast<std::size_t>(i)].data.u64;
      const auto it = Writing.find(key);
      if (key == InboxKey)
        Inbox.takeAll([this](std::unique_ptr<KeeperMessage> m) { take(*m); });
      else if (it != Writing.end())
        writeOut(*it->second);
    }
  }
  for (const auto &[id, weak] : All)
    if (const auto conn = weak.lock())
      cut(*conn);
  Writing.clear();
}

void HttpKeeper::take(KeeperMessage &msg) {
  switch (msg.What) {
  case KeeperMessage::Kind::Watch:
    All[msg.Connection->Id] = msg.Connection;
    break;
  case KeeperMessage::Kind::Write:
    msg.Connection->Out.push_back(std::move(msg.Bytes));
    Writing[msg.Connection->Id] = msg.Connection;
    writeOut(*msg.Connection);
    break;
  case KeeperMessage::Kind::End:
    msg.Connection->EndAfter = true;
    if (msg.Connection->Out.empty())
      endWriting(*msg.Connection);
    break;
  case KeeperMessage::Kind::Sweep:
    sweep();
    break;
  case KeeperMessage::Kind::Stop:
    Stopped = true;
    break;
  }
}

void HttpKeeper::writeOut(HttpConnection &conn) {
  bool broken = conn.Gone.load();
  while (!broken && !conn.Out.empty()) {
    const std::string &first = conn.Out.front();
    const auto rest = std::string_view(first).substr(conn.OutSent);
    const auto done = writeSome(conn, rest);
    broken = !done;
    conn.OutSent += done.value_or(0);
    if (broken || conn.OutSent < first.size())
      break;
    const std::size_t whole = first.size();
    conn.Out.pop_front();
    conn.OutSent = 0;
    conn.Pending.fetch_sub(whole);
  }
  if (broken)
    conn.Gone.store(true);
  const bool done = broken || conn.Out.empty();
  watch(conn, !done);
  if (done && conn.EndAfter)
    endWriting(conn);
  if (done)
    Writing.erase(conn.Id);
}

void HttpKeeper::watch(HttpConnection &conn, bool on) {
  if (on == conn.Watched)
    return;
  conn.Watched = on;
  epoll_event ev{.events = EPOLLOUT, .data = {.u64 = conn.Id}};
  ::epoll_ctl(Poll, on ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, conn.Fd, &ev);
}

void HttpKeeper::sweep() {
  const Time now = monotonicNow();
  for (auto it = All.begin(); it != All.end();) {
    const auto conn = it->second.lock();
    if (conn)
      sweepOne(conn, now);
    it = conn ? std::next(it) : All.erase(it);
  }
}

void HttpKeeper::sweepOne(const std::shared_ptr<HttpConnection> &conn,
                          Time now) {
  const Duration age = ageOf(*conn, now);
  const ConnectionPhase phase = conn->Phase.load();
  const ReadPhase read = conn->Read.load();
  if (phase == ConnectionPhase::Refused && age > RefusedTime)
    cut(*conn);
  if (phase != ConnectionPhase::Idle)
    return;
  if (read == ReadPhase::Nothing && age > Opt.KeepAlive)
    cut(*conn);
  if (read == ReadPhase::Headers && age > Opt.HeaderTimeout)
    refuse(conn, *this, 408, "the headers did not arrive in time");
  if (read == ReadPhase::Body && age > Opt.BodyTimeout)
    refuse(conn, *this, 408, "the body did not arrive in time");
}

} // namespace zinniagauge::impl
