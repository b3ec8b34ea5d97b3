#include "zinniagauge/adapt/transfer.h"

#include <curl/curl.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace zinniagauge {

namespace {

/// Connections that one thread keeps open for reuse.
constexpr long MaxIdleConnections = 256;
constexpr int MaxEventsPerRun = 64; // Taken from epoll by one runOnce().

struct Transfer {
  TransferHandlers *Handlers = nullptr;
  TransferSpec Spec;
  std::vector<HttpHeader> Headers;      // Of the response.
  curl_slist *RequestHeaders = nullptr; // Owned.
  CURL *Easy = nullptr;                 // Owned.
  int Status = 0;
  bool HeadReported = false;
  bool SendBegun = false;
};

void reportHead(Transfer &tr) {
  if (tr.HeadReported)
    return;
  tr.HeadReported = true;
  TransferEvent ev;
  ev.Id = tr.Spec.Id;
  ev.Stage = TransferStage::Head;
  ev.Status = tr.Status;
  ev.Headers = tr.Headers;
  tr.Handlers->OnEvent(ev);
}

std::size_t onHeader(char *data, std::size_t size, std::size_t n, void *arg) {
  auto &tr = *static_cast<Transfer *>(arg);
  const std::string_view line(data, size * n);
  if (line.starts_with("HTTP/")) {
    // A status line starts a new head: the headers of an interim (1xx)
    // response before it are dropped.
    tr.Headers.clear();
    return line.size();
  }
  if (auto header = parseHeaderLine(line))
    tr.Headers.push_back(std::move(*header));
  return line.size();
}

/// Whether the response has a length, uses chunked encoding or has no body.
/// Otherwise it ends when the connection closes, and a complete response can't
/// be distinguished from a truncated one.
bool isDelimited(const Transfer &tr) noexcept {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  if (tr.Status == NoContent || tr.Status == NotModified ||
      tr.Spec.Method == "HEAD")
    return true;
  return std::any_of(tr.Headers.begin(), tr.Headers.end(),
                     [](const HttpHeader &h) {
                       return isSameHeaderName(h.Name, "Content-Length") ||
                              (isSameHeaderName(h.Name, "Transfer-Encoding") &&
                               h.Value.find("chunked") != std::string::npos);
                     });
}

void readStatus(Transfer &tr) {
  long status = 0;
  curl_easy_getinfo(tr.Easy, CURLINFO_RESPONSE_CODE, &status);
  tr.Status = static_cast<int>(status);
}

std::size_t onBody(char *data, std::size_t size, std::size_t n, void *arg) {
  auto &tr = *static_cast<Transfer *>(arg);
  readStatus(tr);
  reportHead(tr);
  TransferEvent ev;
  ev.Id = tr.Spec.Id;
  ev.Stage = TransferStage::Body;
  ev.Status = tr.Status;
  ev.Bytes = std::string_view(data, size * n);
  tr.Handlers->OnEvent(ev);
  return size * n;
}

int onBeforeSend(void *arg, char * /*ip*/, char * /*ownip*/, int /*port*/,
                 int /*ownport*/) {
  auto &tr = *static_cast<Transfer *>(arg);
  // libcurl retries by itself when a reused connection turns out to be closed.
  // The first request may have arrived at the endpoint, so a second one is
  // aborted.
  if (std::exchange(tr.SendBegun, true))
    return CURL_PREREQFUNC_ABORT;
  return tr.Handlers->MaySend(tr.Spec.Id) ? CURL_PREREQFUNC_OK
                                          : CURL_PREREQFUNC_ABORT;
}

} // namespace

struct TransferPool::State {
  TransferHandlers Handlers;
  CURLM *Multi = curl_multi_init();
  int Epoll = ::epoll_create1(EPOLL_CLOEXEC);
  std::vector<int> Watched;
  std::map<TransferId, std::unique_ptr<Transfer>> Running;
  std::optional<Time> CurlTimer;

  [[nodiscard]] Duration waitFor(Duration maxwait) const noexcept;
  void socketAction(curl_socket_t fd, int mask) const;
  void finishCompleted();
  void destroy(Transfer &tr) const;
  static int onSocket(CURL *, curl_socket_t fd, int what, void *self,
                      void *assigned);
  static int onTimer(CURLM *, long ms, void *self);
};

int TransferPool::State::onSocket(CURL * /*easy*/, curl_socket_t fd, int what,
                                  void *self, void *assigned) {
  auto &st = *static_cast<State *>(self);
  epoll_event ev{};
  ev.data.fd = fd;
  if (what == CURL_POLL_REMOVE) {
    ::epoll_ctl(st.Epoll, EPOLL_CTL_DEL, fd, &ev);
    return 0;
  }
  if (what & CURL_POLL_IN)
    ev.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    ev.events |= EPOLLOUT;
  ::epoll_ctl(st.Epoll, assigned ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &ev);
  curl_multi_assign(st.Multi, fd, self);
  return 0;
}

int TransferPool::State::onTimer(CURLM * /*multi*/, long ms, void *self) {
  auto &st = *static_cast<State *>(self);
  if (ms < 0)
    st.CurlTimer.reset();
  else
    st.CurlTimer = monotonicNow() + std::chrono::milliseconds(ms);
  return 0;
}

Duration TransferPool::State::waitFor(Duration maxwait) const noexcept {
  if (!CurlTimer)
    return maxwait;
  return std::clamp(*CurlTimer - monotonicNow(), Duration::zero(), maxwait);
}

void TransferPool::State::socketAction(curl_socket_t fd, int mask) const {
  int running = 0;
  curl_multi_socket_action(Multi, fd, mask, &running);
}

void TransferPool::State::destroy(Transfer &tr) const {
  curl_multi_remove_handle(Multi, tr.Easy);
  curl_easy_cleanup(tr.Easy);
  curl_slist_free_all(tr.RequestHeaders);
}

void TransferPool::State::finishCompleted() {
  int remaining = 0;
  while (CURLMsg *msg = curl_multi_info_read(Multi, &remaining)) {
    if (msg->msg != CURLMSG_DONE)
      continue;
    const CURLcode rc = msg->data.result;
    Transfer *done = nullptr;
    curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &done);
    const auto it = Running.find(done->Spec.Id);
    const std::unique_ptr<Transfer> tr = std::move(it->second);
    Running.erase(it);
    readStatus(*tr);
    TransferEvent ev;
    ev.Id = tr->Spec.Id;
    ev.Stage = TransferStage::End;
    ev.Status = tr->Status;
    ev.Complete = rc == CURLE_OK && isDelimited(*tr);
    if (!ev.Complete)
      ev.Detail = rc == CURLE_OK ? "the answer has no length or end mark"
                                 : curl_easy_strerror(rc);
    if (rc == CURLE_OK)
      reportHead(*tr);
    destroy(*tr);
    Handlers.OnEvent(ev);
  }
}

TransferPool::TransferPool(TransferHandlers handlers)
    : St(std::make_unique<State>()) {
  St->Handlers = std::move(handlers);
  curl_multi_setopt(St->Multi, CURLMOPT_SOCKETFUNCTION, State::onSocket);
  curl_multi_setopt(St->Multi, CURLMOPT_SOCKETDATA, St.get());
  curl_multi_setopt(St->Multi, CURLMOPT_TIMERFUNCTION, State::onTimer);
  curl_multi_setopt(St->Multi, CURLMOPT_TIMERDATA, St.get());
  curl_multi_setopt(St->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  curl_multi_setopt(St->Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

TransferPool::~TransferPool() {
  for (auto &it : St->Running)
    St->destroy(*it.second);
  curl_multi_cleanup(St->Multi);
  ::close(St->Epoll);
}

void TransferPool::watch(int fd) {
  epoll_event ev{};
  ev.events = EPOLLIN;
  ev.data.fd = fd;
  ::epoll_ctl(St->Epoll, EPOLL_CTL_ADD, fd, &ev);
  St->Watched.push_back(fd);
}

namespace {

void setRequest(Transfer &tr) {
  CURL *h = tr.Easy;
  const TransferSpec &spec = tr.Spec;
  tr.RequestHeaders = curl_slist_append(tr.RequestHeaders, "Expect:");
  for (const HttpHeader &it : spec.Headers) {
    const std::string line = it.Name + ": " + it.Value;
    tr.RequestHeaders = curl_slist_append(tr.RequestHeaders, line.c_str());
  }
  curl_easy_setopt(h, CURLOPT_URL, spec.Url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, spec.Method.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, tr.RequestHeaders);
  if (spec.Method == "HEAD")
    curl_easy_setopt(h, CURLOPT_NOBODY, 1L);
  if (spec.Body.empty())
    return;
  curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(spec.Body.size()));
  curl_easy_setopt(h, CURLOPT_POSTFIELDS, spec.Body.data());
}

void setConnection(Transfer &tr) {
  using std::chrono::milliseconds;
  CURL *h = tr.Easy;
  const auto ms =
      std::chrono::duration_cast<milliseconds>(tr.Spec.ConnectTimeout);
  curl_easy_setopt(h, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(ms.count()));
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(h, CURLOPT_PROXY, "");
  curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, tr.Spec.NewConnection ? 1L : 0L);
  curl_easy_setopt(h, CURLOPT_FORBID_REUSE, tr.Spec.NewConnection ? 1L : 0L);
}

void setCallbacks(Transfer &tr) {
  CURL *h = tr.Easy;
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &tr);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &tr);
  curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, onBeforeSend);
  curl_easy_setopt(h, CURLOPT_PREREQDATA, &tr);
  curl_easy_setopt(h, CURLOPT_PRIVATE, &tr);
}

} // namespace

void TransferPool::start(TransferSpec spec) {
  auto tr = std::make_unique<Transfer>();
  tr->Handlers = &St->Handlers;
  tr->Spec = std::move(spec);
  tr->Easy = curl_easy_init();
  setRequest(*tr);
  setConnection(*tr);
  setCallbacks(*tr);
  CURL *h = tr->Easy;
  const TransferId id = tr->Spec.Id;
  St->Running.emplace(id, std::move(tr));
  curl_multi_add_handle(St->Multi, h);
}

void TransferPool::cancel(TransferId id) {
  const auto it = St->Running.find(id);
  if (it == St->Running.end())
    return;
  const std::unique_ptr<Transfer> tr = std::move(it->second);
  St->Running.erase(it);
  // libcurl closes the connection of a handle that is removed during its
  // transfer.
  St->destroy(*tr);
}

void TransferPool::runOnce(Duration maxwait) {
  using std::chrono::milliseconds;
  std::array<epoll_event, MaxEventsPerRun> events{};
  const auto ms = std::chrono::ceil<milliseconds>(St->waitFor(maxwait));
  const int n = ::epoll_wait(St->Epoll, events.data(), MaxEventsPerRun,
                             static_cast<int>(ms.count()));
  for (int i = 0; i < n; ++i) {
    const epoll_event &ev = events[static_cast<std::size_t>(i)];
    const auto &watched = St->Watched;
    if (std::find(watched.begin(), watched.end(), ev.data.fd) != watched.end())
      continue;
    int mask = 0;
    if (ev.events & (EPOLLIN | EPOLLHUP))
      mask |= CURL_CSELECT_IN;
    if (ev.events & EPOLLOUT)
      mask |= CURL_CSELECT_OUT;
    if (ev.events & EPOLLERR)
      mask |= CURL_CSELECT_ERR;
    St->socketAction(ev.data.fd, mask);
  }
  if (St->CurlTimer && *St->CurlTimer <= monotonicNow()) {
    St->CurlTimer.reset();
    St->socketAction(CURL_SOCKET_TIMEOUT, 0);
  }
  St->finishCompleted();
}

std::size_t TransferPool::size() const noexcept { return St->Running.size(); }

} // namespace zinniagauge
