// A notice is logged only if it changes the state of the engine.

#include "gateway/notice_receiver.h"

#include "platform/engine_notice.h"

namespace gullward {
namespace {

// The HTTP status of an answer by an engine other than the expected one.
constexpr int kMisdirected = 421;

// An engine that writes malformed fields writes them in every answer, so these are counted and
// only a sample is logged.
void NoteMalformed(GatewayState* state, const EngineRecord& engine) {
  state->counters.notices_unreadable += 1;
  if (!state->log->Sample()) return;
  const ResultCodeInfo& info = Info(ResultCode::kNoticeUnreadable);
  state->log->Write(LogLine(info.name)
                        .Number("code", static_cast<double>(info.code))
                        .Text("engine", engine.Incarnation()));
}

}  // namespace

void ReceiveNotice(GatewayState* state, const EngineRecord& engine, const ResponseHead& head,
                   Time sent) {
  if (head.status == kMisdirected) return;
  EngineNotice notice = platform::ParseEngineNotice(head.status, head.headers);
  if (notice.malformed) NoteMalformed(state, engine);
  EngineNotices& notices = state->fleet.notices();
  EngineNotices::Change change = notices.Receive(engine.Incarnation(), notice, sent, Now());
  if (!change.any()) return;
  state->counters.limit_changes += change.limit ? 1 : 0;
  state->counters.leaving_changes += change.leaving ? 1 : 0;
  state->counters.rest_changes += change.rest ? 1 : 0;
  LogLine line("engine_notice");
  line.Text("engine", engine.Incarnation()).Number("status", head.status);
  if (change.limit && notice.limit_per_s) line.Number("limit_per_s", *notice.limit_per_s);
  if (change.limit && !notice.limit_per_s) line.Number("limit_lifted", 1);
  if (change.leaving) line.Number("leaving", 1);
  if (change.rest) line.Number("rest_ms", ToSeconds(*notice.rest) * 1000);
  state->log->Write(line);
}

}  // namespace gullward
