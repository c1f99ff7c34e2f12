// Cuts a stream of server-sent events into whole ones.
//
// An engine may stop in the middle of an event.  What the caller gets must end
// between events, so that another engine can take the stream up after the last
// one; bytes of an unfinished event wait here.
//
//   EventSplitter splitter;
//   WholeEvents events = splitter.Feed(bytes);
//   caller->Write(events.bytes);  last_id = events.last_id;

#ifndef GULLWARD_SERVING_EVENT_SPLITTER_H_
#define GULLWARD_SERVING_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace gullward {

struct WholeEvents {
  // Zero or more whole events, each with the blank line that ends it.
  std::string bytes;
  // How many there are.
  int count = 0;
  // The id of the last of them that carries one.
  std::optional<std::string> last_id;

  bool operator==(const WholeEvents&) const = default;
};

class EventSplitter {
 public:
  WholeEvents Feed(std::string_view bytes);

  // Whether an unfinished event waits.
  bool has_partial_event() const { return !this->rest.empty(); }

 private:
  std::string rest;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_EVENT_SPLITTER_H_
