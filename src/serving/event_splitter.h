// Splits a stream of server-sent events into complete events.
//
// An engine may stop in the middle of an event.  The bytes sent to the caller must end between
// events, so that another engine can resume the stream after the last complete one.  The splitter
// therefore holds back the bytes of an incomplete event.  Each byte is searched once, however many
// pieces the event comes in; the owner bounds its size.
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
  // Zero or more complete events, each with the blank line that ends it.
  std::string bytes;
  // Number of events in `bytes`.
  int count = 0;
  // The id of the last event that has one.
  std::optional<std::string> last_id;

  bool operator==(const WholeEvents&) const = default;
};

class EventSplitter {
 public:
  // Appends bytes of the stream and returns the events that are now complete.
  WholeEvents Feed(std::string_view bytes);

  // Whether bytes of an incomplete event are held back.
  bool has_partial_event() const { return !this->partial.empty(); }
  // Number of these bytes.
  size_t partial_bytes() const { return this->partial.size(); }

 private:
  std::string partial;
  // No event ends before this position of `partial`.
  size_t searched = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_EVENT_SPLITTER_H_
