// engine ADDRESS ID SLOTS QUEUE EVENTS EVENT_MS: a stand-in for an engine without faults.  Faults
// come from outside: the case kills the process.
//
// A request whose path holds /app/ gets a plain answer of kParts parts; any other gets a stream of
// EVENTS events with rising ids, which goes on after Last-Event-Id.  What an answer holds follows
// from the request's body alone, so that the case knows what every whole answer is.  From SIGUSR1
// to SIGUSR2, one answer in kUnframedEvery carries no length and ends with its connection.  The
// engine runs SLOTS requests at once and queues QUEUE more; beyond that, and when an engine in
// Helpers is gone, it answers 503 with Not-Run.  Prints "ran ATTEMPT-ID" when it begins to work on
// a request.

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "answers.h"
#include "http.h"

using namespace review;

namespace {

std::mutex mutex;
std::condition_variable freed;
int running = 0;
int waiting = 0;

std::string id;
int slots, queue, events;
double event_ms;
// A share of 0.05.
constexpr int kUnframedEvery = 20;
std::atomic<bool> unframes{false};
std::atomic<int> answers{0};

std::string Head(int status, const Message& request, const std::string& more) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  if (request.Has("Attempt-Id")) text += "Attempt-Id: " + request.Header("Attempt-Id") + "\r\n";
  return text + more + "\r\n";
}

std::string Whole(int status, const Message& request, const std::string& more,
                  const std::string& body) {
  return Head(status, request, more + "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

// Waits for a slot.  False if the queue is full.
bool TakeSlot() {
  std::unique_lock<std::mutex> lock(mutex);
  if (running >= slots && waiting >= queue) return false;
  waiting += 1;
  freed.wait(lock, [] { return running < slots; });
  waiting -= 1;
  running += 1;
  return true;
}

void FreeSlot() {
  std::lock_guard<std::mutex> lock(mutex);
  running -= 1;
  freed.notify_one();
}

// The first helping engine of the request that is gone: nothing listens at its address.
std::string GoneHelper(const Message& request) {
  std::string helpers = request.Header("Helpers");
  for (size_t at = 0; at < helpers.size();) {
    size_t end = std::min(helpers.find(',', at), helpers.size());
    std::string entry = helpers.substr(at, end - at);
    std::string address = entry.substr(0, entry.find('/'));
    int fd = Connect(ParseAddress(address));
    if (fd < 0) return address;
    close(fd);
    at = end + 1;
  }
  return "";
}

// Answers 503: the request has not run.
bool Refuse(Channel& channel, const Message& request, const std::string& more,
            const std::string& why) {
  std::printf("refused %s: %s\n", request.Header("Attempt-Id").c_str(), why.c_str());
  std::fflush(stdout);
  std::string headers = "Not-Run: 1\r\nContent-Type: text/plain\r\n" + more;
  return channel.Send(Whole(503, request, headers, why + "\n"));
}

// Sends the answer part by part.  False if the caller has left or the connection must close.
bool Run(Channel& channel, const Message& request) {
  bool is_plain = request.Path().find("/app/") != std::string::npos;
  std::string seal = "Response-Seal: 3e1b." + id + "." + request.Header("Attempt-Id") + "\r\n";
  bool unframed = unframes && ++answers % kUnframedEvery == 0;
  std::string framing = unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
  std::string type = is_plain ? "" : "Content-Type: text/event-stream\r\nVersions: 1\r\n";
  int first = is_plain ? 1 : std::atoi(request.Header("Last-Event-Id").c_str()) + 1;
  int last = is_plain ? kParts : events;
  double pause = is_plain ? kPartMs : event_ms;
  SleepMs(pause);
  if (request.Method() == "HEAD") {
    std::string length = std::to_string(WholePlain(request.body).size());
    return channel.Send(Head(200, request, seal + "Content-Length: " + length + "\r\n"));
  }
  if (!channel.Send(Head(200, request, seal + type + framing))) return false;
  for (int part = first; part <= last; ++part) {
    SleepMs(pause);
    if (channel.PeerHasLeft()) return false;
    std::string text = is_plain ? PlainPart(request.body, part) : Event(request.body, part);
    if (!unframed) {
      char size[20];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      text = size + text + "\r\n";
    }
    if (!channel.Send(text)) return false;
  }
  if (unframed) return false;
  return channel.Send("0\r\n\r\n");
}

void OnChannel(Channel& channel) {
  Message request;
  while (channel.ReadHead(&request) && channel.ReadBody(&request, false)) {
    bool is_expected = !request.Has("Expect-Instance") || request.Header("Expect-Instance") == id;
    if (!is_expected) {
      if (!channel.Send(Whole(421, request, "Instance-Id: " + id + "\r\n", ""))) return;
      continue;
    }
    if (request.Path() == "/v1/order") {
      if (!channel.Send(Whole(200, request, "", "{\"free\":0}"))) return;
      continue;
    }
    std::string gone = GoneHelper(request);
    if (!gone.empty()) {
      std::string cause = "At-Server: " + gone + "\r\n";
      if (!Refuse(channel, request, cause, "a helping engine is gone")) return;
      continue;
    }
    if (!TakeSlot()) {
      if (!Refuse(channel, request, "", "the engine is full")) return;
      continue;
    }
    std::printf("ran %s\n", request.Header("Attempt-Id").c_str());
    std::fflush(stdout);
    bool keeps = Run(channel, request);
    FreeSlot();
    if (!keeps) return;
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 7) return 2;
  id = argv[2];
  slots = std::atoi(argv[3]);
  queue = std::atoi(argv[4]);
  events = std::atoi(argv[5]);
  event_ms = std::atof(argv[6]);
  signal(SIGUSR1, [](int) { unframes = true; });
  signal(SIGUSR2, [](int) { unframes = false; });
  Serve(ParseAddress(argv[1]), OnChannel);
}
