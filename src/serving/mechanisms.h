// Switches for the mechanisms by which a gateway chooses engines and refuses
// work, each on by default.
//
// Every mechanism can be switched off alone, so that the same day can be played with
// and without it.  Switched off, a mechanism falls back to the plainest choice that
// still serves (see each field); only the last one lets a rule be broken.
// docs/WORTH.md says what each is worth.
//
//   Mechanisms mechanisms;
//   mechanisms.refusal_by_cost = false;     // refuse only what cannot be run
//   Fleet fleet(bounds, "box-1", "hall-1", mechanisms);

#ifndef GULLWARD_SERVING_MECHANISMS_H_
#define GULLWARD_SERVING_MECHANISMS_H_

namespace gullward {

struct Mechanisms {
  // A first try whose cost to others is over what it earns is refused at once,
  // with when to come back.  Off: it is sent to the cheapest engine anyway.
  bool refusal_by_cost = true;
  // A long prompt is read by several engines in parts.  Off: by one engine,
  // so a prompt over one engine's memory finds no engine.
  bool spread_reading = true;
  // Shorts fill engines in one order that all gateways share, vast prompts
  // from its other end.  Off: all engines rank alike.
  bool shared_order = true;
  // The work that peers have sent to each engine is counted in its load.  Off:
  // each gateway knows its own work only (it still tells its own).
  bool peer_loads = true;
  // Two peers' words set an engine aside here too.  Off: only this gateway's
  // own failures do.
  bool peer_set_aside = true;
  // Engines that failed of late get no work while there are others.  Off:
  // their failure rate still weighs in their price.
  bool own_set_aside = true;
  // An attempt whose engine is silent for longer than expected is left for
  // another engine where the request may run again.  Off: it waits until the
  // engine answers or the request's time is over.
  bool leave_silent_engines = true;
  // Where a prompt was to be read by several engines and the refusal names one of the
  // helpers as the cause, that helper is set aside and the engine that answered stays
  // in use.  Off: the engine that answered is blamed, and the next attempt may ask the
  // same helper again.
  bool blame_named_reader = true;
  // A helper's share of a prompt is told to peers though the engine was reading
  // already.  Off: they hear of it with the next full round, half a second later, and
  // meanwhile give the same engine more to read.
  bool tell_reading = true;
  // A stream that is late already counts as one that no pause harms.  Off: its worth
  // is protected as if it were in time.
  bool spare_late_streams = true;
  // A first event that a second engine would bring late too is waited for longer.  Off:
  // the engine is left after three times the expected time.
  bool wait_for_late_first = true;
  // A long prompt runs where streams run already and is read where few do.  Off: only
  // the price decides.
  bool gather_streams = true;
  // The engines' list is kept a second time in the store, for a gateway that starts
  // while the list cannot be read.  Off: that gateway refuses until it can.
  bool copy_engine_list = true;
  // A read of the engines' list that has not brought what a peer has read is sent again.
  // Off: it waits until the store answers it.
  bool catch_up_with_peers = true;
  // A large fleet is divided into cells (cell_map.h).  Off: every gateway chooses among
  // all engines and tells all gateways.
  bool cells = true;
  // In a fleet of several cells, what the home cell would serve late or refuse goes to
  // engines that gateways of other cells offer.  Off: only where the home cell has no
  // engine at all does work leave it.
  bool spill = true;
  // A gateway that the store turns away gets a newer configuration from a peer.  Off: it
  // waits for the store, and refuses what needs a key once its last proof is too old.
  bool config_from_peers = true;
  // Requests that end the engines that run them are kept from further ones (quarantine.h).
  // Off: each is sent on like any other, and the users' bound on such requests is broken.
  bool quarantine = true;
  // What engines say of themselves in answers is followed (engine_notices.h).  Off: it is
  // known and told in the log only, and the users' bounds on it are broken.
  bool engine_notices = true;

  bool operator==(const Mechanisms&) const = default;
};

// A switch as settings name it: `use_` and this.
struct MechanismSwitch {
  const char* name;
  bool Mechanisms::*field;
};

// Every switch.
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
    {"cells", &Mechanisms::cells},
    {"spill", &Mechanisms::spill},
    {"config_from_peers", &Mechanisms::config_from_peers},
    {"quarantine", &Mechanisms::quarantine},
    {"engine_notices", &Mechanisms::engine_notices},
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_MECHANISMS_H_
