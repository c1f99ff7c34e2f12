// Reads the notices of engines (serving/engine_notice.h), which are header fields of their
// answers to requests and to orders for memory.  A notice states a limit on requests, that the
// engine leaves, or a rest.  Each change of a notice is logged.
//
//   ReceiveNotice(state, engine, head, sent);

#ifndef GULLWARD_GATEWAY_NOTICE_RECEIVER_H_
#define GULLWARD_GATEWAY_NOTICE_RECEIVER_H_

#include "gateway/gateway_state.h"
#include "http/message_parser.h"

namespace gullward {

// Applies the notices in `head`, the head of the engine's answer to a request or order that was
// sent at `sent`.  An answer with status 421 is ignored: another engine has taken the address and
// wrote the answer.
void ReceiveNotice(GatewayState* state, const EngineRecord& engine, const ResponseHead& head,
                   Time sent);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_NOTICE_RECEIVER_H_
