// Takes an engine's notices (serving/engine_notice.h) from its answers: to requests, and to
// orders for memory alike.  What changes gets a line in the log.
//
//   ReceiveNotice(state, engine, head, sent);

#ifndef GULLWARD_GATEWAY_NOTICE_RECEIVER_H_
#define GULLWARD_GATEWAY_NOTICE_RECEIVER_H_

#include "gateway/gateway_state.h"
#include "http/message_parser.h"

namespace gullward {

// `head` is of the engine's answer to what was sent to it at `sent`.  An answer that says that
// another engine has the address (421) is that engine's and is passed over.
void ReceiveNotice(GatewayState* state, const EngineRecord& engine, const ResponseHead& head,
                   Time sent);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_NOTICE_RECEIVER_H_
