// Switches for the mechanisms by which a gateway chooses engines and refuses work.  The settings
// hold a default for each; those for demand that exceeds the engines' room (src/overload) are off
// unless the settings switch them on, except `ranks`, which the configuration calls for.
//
// Each mechanism can be switched off by itself, so that the same load can be run with and without
// it.  A mechanism that is off falls back to the simplest behaviour that still serves requests
// (described at each field).  Without `quarantine`, `engine_notices`, `evacuation` or
// `cold_engines`, bounds that the users require are exceeded.  docs/WORTH.md states the effect of
// each mechanism.
//
//   Mechanisms mechanisms;
//   mechanisms.refusal_by_cost = false;     // refuse only what cannot be run
//   Fleet fleet(bounds, "box-1", "hall-1", mechanisms);

#ifndef GULLWARD_SERVING_MECHANISMS_H_
#define GULLWARD_SERVING_MECHANISMS_H_

namespace gullward {

struct Mechanisms {
  // A first attempt whose cost to others exceeds its value is refused at once, with the time
  // after which to retry.  Off: it is sent to the cheapest engine anyway.
  bool refusal_by_cost = true;
  // A long prompt is read by several engines in parts.  Off: it is read by one engine, and a
  // prompt that exceeds one engine's memory finds no engine.
  bool spread_reading = true;
  // Short prompts fill engines in an order that all gateways share, very long prompts from its
  // end.  Off: all engines have the same rank.
  bool shared_order = true;
  // The load of an engine includes the work that peers have sent to it.  Off: it includes this
  // gateway's own work only, which is still reported to peers.
  bool peer_loads = true;
  // An engine that two peers have set aside is set aside here too.  Off: only this gateway's own
  // failures count.
  bool peer_set_aside = true;
  // An engine that has failed recently gets no work while others are left.  Off: its failure
  // rate still raises its cost.
  bool own_set_aside = true;
  // An attempt whose engine is silent for longer than expected is given up for another engine if
  // the request may run again.  Off: the request waits until the engine answers or the request's
  // time is over.
  bool leave_silent_engines = true;
  // If several engines were to read a prompt and the refusal names one of the readers as its
  // cause, that reader is set aside and the engine that answered stays in use.  Off: the failure
  // is recorded against the engine that answered, and the next attempt may use the same reader
  // again.
  bool blame_named_reader = true;
  // A reader's part of a prompt is reported to peers at once even if the engine was reading
  // already.  Off: peers learn of it in the next full round, up to half a second later, and
  // meanwhile may give the same engine more to read.
  bool tell_reading = true;
  // A stream whose answer is late already counts as one that tolerates any pause.  Off: it is
  // protected from pauses like a stream that is in time.
  bool spare_late_streams = true;
  // The timeout of a first event is longer if a second engine would be late too.  Off: the
  // attempt is given up after three times the expected time.
  bool wait_for_late_first = true;
  // A long prompt runs on an engine that already has streams and is read by engines that have
  // few.  Off: only the cost decides.
  bool gather_streams = true;
  // A copy of the list of engines is kept in the store, for a gateway that starts while the list
  // cannot be read.  Off: such a gateway refuses requests until the list can be read.
  bool copy_engine_list = true;
  // A pending read of the list of engines is sent again if a peer has read further.  Off: the
  // gateway waits until the store answers the first read.
  bool catch_up_with_peers = true;
  // A read that waits at the store is sent again when the store answers after a silence
  // (gateway/topic_follower.h).  Off: it waits until its own time is over, and changes are seen
  // only then.
  bool renew_reads = true;
  // The gateways that read the list of engines from the store also ask it now and then whether the
  // list has changed (gateway/topic_revalidator.h).  Off: a change whose read the store has lost is
  // seen when that read's time is over.
  bool revalidate_engines = true;
  // A gateway that reads from a peer asks the store itself if nothing has shown for long that what
  // it has is current (revalidation_schedule.h).  Off: a change is seen when the peer sees it, and
  // a change of the configuration also when keys could no longer be trusted.
  bool revalidate_as_reader = true;
  // A large fleet is divided into cells (cell_map.h).  Off: every gateway chooses among all
  // engines and reports to all gateways.
  bool cells = true;
  // In a fleet of several cells, a request that the home cell would serve late or refuse goes to
  // an engine that a gateway of another cell offers.  Off: a request leaves the home cell only if
  // that cell has no engine for it.
  bool spill = true;
  // A gateway that cannot read from the store takes a newer configuration from a peer.  Off:
  // it waits for the store, and refuses requests that need a key once its last validation of
  // the configuration is too old.
  bool config_from_peers = true;
  // Most gateways read the store's topics from a peer (reader_tree.h).  Off: each gateway reads
  // them from the store, so the calls grow with the number of gateways.
  bool topic_relay = true;
  // A request that crashes engines is not sent to further ones (quarantine.h).  Off: it is retried
  // like any other, and the users' bound on the crashes by one request is exceeded.
  bool quarantine = true;
  // A stream that only the end of its connection ends counts as complete if its engine still
  // accepts connections (gateway/exchange_crashes.cc).  Off: the stream of an engine that crashes
  // between two events may look complete.
  bool confirm_stream_end = true;
  // A gateway that cannot keep up with a surge of connections closes some unread
  // (gateway/caller_handoff.h).  Off: each request waits behind all others.
  bool caller_handoff = true;
  // An attempt that gets a failure or an event without end is ended early (gateway/exchange.h).
  // Off: it lasts until the request's deadline, and what it sends is kept.
  bool bound_answers = true;
  // What requests hold together, and the connections of callers, are bounded
  // (gateway/request_memory.h, gateway/descriptor_shares.h).  Off: both grow with what callers
  // send.
  bool bound_requests = true;
  // Once a planned stop has closed the port for callers, requests that no engine has are refused as
  // not run, and at the end of its grace each request that is left gets an answer.  Off: requests
  // are read and sent to engines until the end, which closes their connections.
  bool answer_at_stop = true;
  // Crashes count against the parts of prompts, not only against whole contents (quarantine.h).
  // Off: requests that differ in content are each sent to engines until three have crashed.
  bool part_quarantine = true;
  // The notices that engines send in answers are followed (engine_notices.h).  Off: they are
  // recorded and logged only, and the users' bounds on the requests to such engines are exceeded.
  bool engine_notices = true;
  // The engines of a data centre that the operator evacuates get no new requests.  Off: the
  // evacuation is logged only.
  bool evacuation = true;
  // All gateways together keep to the service's rate for a cold engine (cold_engines.h).  Off: a
  // cold engine is chosen like any other, and may fail.
  bool cold_engines = true;
  // Where the configuration ranks the routes of a service or its accounts differently, more urgent
  // requests are served first (overload/ranks.h).  Off: all ranks are equal.
  bool ranks = true;
  // A refusal says when there will be room, and a caller that returns then goes before newcomers
  // (overload/return_book.h).  Off: the time to return is a share of the route's objective.
  bool kept_returns = false;
  // What an engine second is worth follows from the work that competes for it
  // (overload/work_price.h).  Off: it is a constant.
  bool learned_price = false;
  // Engines are priced by the speed that their answers show (overload/engine_pace.h).  Off: by the
  // speed that the configuration publishes.
  bool engine_pace = false;
  // A gateway that is starting tells refused callers to return when its start should be over
  // (gateway/start_steps.h).  Off: as after any refusal, after a share of the route's objective.
  bool start_retry_after = false;

  bool operator==(const Mechanisms&) const = default;
};

// A switch by its name; the key in the settings is `use_` followed by the name.
struct MechanismSwitch {
  const char* name;
  bool Mechanisms::*field;
};

// All switches.
inline constexpr MechanismSwitch kMechanismSwitches[] = {
    {"refusal_by_cost", &Mechanisms::refusal_by_cost},
    {"spread_reading", &Mechanisms::spread_reading},
    {"shared_order", &Mechanisms::shared_order},
    {"peer_loads", &Mechanisms::peer_loads},
    {"peer_set_aside", &Mechanisms::peer_set_aside},
    {"own_set_aside", &Mechanisms::own_set_aside},
    {"leave_silent_engines", &Mechanisms::leave_silent_engines},
    {"blame_named_reader", &Mechanisms::blame_named_reader},
    {"tell_reading", &Mechanisms::tell_reading},
    {"spare_late_streams", &Mechanisms::spare_late_streams},
    {"wait_for_late_first", &Mechanisms::wait_for_late_first},
    {"gather_streams", &Mechanisms::gather_streams},
    {"copy_engine_list", &Mechanisms::copy_engine_list},
    {"catch_up_with_peers", &Mechanisms::catch_up_with_peers},
    {"renew_reads", &Mechanisms::renew_reads},
    {"revalidate_engines", &Mechanisms::revalidate_engines},
    {"revalidate_as_reader", &Mechanisms::revalidate_as_reader},
    {"cells", &Mechanisms::cells},
    {"spill", &Mechanisms::spill},
    {"config_from_peers", &Mechanisms::config_from_peers},
    {"topic_relay", &Mechanisms::topic_relay},
    {"quarantine", &Mechanisms::quarantine},
    {"confirm_stream_end", &Mechanisms::confirm_stream_end},
    {"caller_handoff", &Mechanisms::caller_handoff},
    {"bound_answers", &Mechanisms::bound_answers},
    {"bound_requests", &Mechanisms::bound_requests},
    {"answer_at_stop", &Mechanisms::answer_at_stop},
    {"part_quarantine", &Mechanisms::part_quarantine},
    {"engine_notices", &Mechanisms::engine_notices},
    {"evacuation", &Mechanisms::evacuation},
    {"cold_engines", &Mechanisms::cold_engines},
    {"ranks", &Mechanisms::ranks},
    {"kept_returns", &Mechanisms::kept_returns},
    {"learned_price", &Mechanisms::learned_price},
    {"engine_pace", &Mechanisms::engine_pace},
    {"start_retry_after", &Mechanisms::start_retry_after},
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_MECHANISMS_H_
