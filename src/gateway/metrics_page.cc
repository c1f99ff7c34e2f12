// Each function adds one part of the page; the parts appear in the order of the functions.

#include "gateway/metrics_page.h"

#include <sys/resource.h>

#include "absl/strings/str_cat.h"
#include "process/metrics.h"

namespace gullward {
namespace {

constexpr double kBytesPerKilobyte = 1024;

void AddCounts(const GatewayCounters& counters, const MetricsSnapshot& snapshot,
               MetricsText* text) {
  auto count = [text](const std::string& name, const std::string& help, uint64_t value) {
    text->Counter(name, help, {}, static_cast<double>(value));
  };
  count("gullward_requests_total", "Requests read from callers", counters.requests);
  count("gullward_attempts_total", "Requests sent to engines", counters.attempts);
  count("gullward_retries_total", "Second and later attempts", counters.retries);
  count("gullward_retries_denied_total", "Retries that the budget denied", counters.retries_denied);
  count("gullward_decisions_awaited_total",
        "Requests that waited for the decision whether their content crashes engines",
        counters.decisions_awaited);
  count("gullward_answers_total", "Answers passed on whole", counters.answers_whole);
  count("gullward_answers_broken_total", "Answers broken off", counters.answers_broken);
  count("gullward_answers_abandoned_total", "Attempts ended since what the engine sent did not end",
        counters.answers_abandoned);
  count("gullward_callers_gone_total", "Callers that left early", counters.callers_gone);
  count("gullward_callers_handed_off_total",
        "Connections closed unread, for other gateways to read", counters.callers_handed_off);
  count("gullward_callers_closed_idle_total", "Idle or stalled connections closed for new ones",
        counters.callers_closed_idle);
  count("gullward_callers_refused_total", "Connections refused since every other had a request",
        counters.callers_refused);
  count("gullward_uploads_displaced_total", "Stalled uploads rejected to make room for others",
        counters.uploads_displaced);
  count("gullward_events_total", "Stream events passed on", counters.events_forwarded);
  count("gullward_spilled_total", "Attempts at engines of other cells", counters.spilled);
  for (const auto& [outcome, callers] :
       {std::pair("promised", counters.returns_promised), std::pair("kept", counters.returns_kept),
        std::pair("lapsed", snapshot.returns_lapsed),
        std::pair("refused_again", counters.returns_refused_again)}) {
    text->Counter("gullward_returns_total", "Callers refused for overload, by what followed",
                  {{"outcome", outcome}}, static_cast<double>(callers));
  }
  count("gullward_datagrams_sent_total", "Datagrams to peers", snapshot.datagrams_sent);
  count("gullward_datagram_bytes_sent_total", "Bytes of them", snapshot.datagram_bytes_sent);
  count("gullward_datagrams_heard_total", "Datagrams of peers", snapshot.datagrams_received);
  count("gullward_peers_left_for_later_total", "Members of large cells told in a later round",
        snapshot.peers_deferred);
  count("gullward_engine_orders_total", "Orders to engines", counters.orders);
  count("gullward_engine_entries_unreadable_total", "Entries that name no engine to use",
        counters.entries_unreadable);
  count("gullward_engine_restarts_total", "Engines seen to start again under their id",
        counters.engine_restarts);
  const char* const notices_help = "Changes of what engines say of themselves, by kind";
  for (const auto& [kind, changes] :
       {std::pair("limit", counters.limit_changes), std::pair("leaving", counters.leaving_changes),
        std::pair("rest", counters.rest_changes)}) {
    text->Counter("gullward_engine_notices_total", notices_help, {{"kind", kind}},
                  static_cast<double>(changes));
  }
  count("gullward_engine_notices_unreadable_total", "Fields of notices that cannot be read",
        counters.notices_unreadable);
  count("gullward_engine_notices_forgotten_total", "Engines whose notices had to make room",
        snapshot.notices_forgotten);
  count("gullward_operator_records_unreadable_total", "Records of the operator that cannot be read",
        counters.operator_records_unreadable);
  count("gullward_engine_connections_total", "Connections opened", snapshot.engine_connections);
  count("gullward_log_lines_dropped_total", "Log lines dropped", snapshot.log_lines_dropped);
  count("gullward_store_calls_total", "Calls to the platform's store", snapshot.store_calls);
  count("gullward_topic_reads_from_peers_total", "Reads of the store's topics from peers",
        snapshot.peer_reads);
  count("gullward_topic_reads_for_peers_total", "Reads of peers that were answered",
        snapshot.relayed_reads);
  count("gullward_topic_bytes_for_peers_total", "Bytes of these answers", snapshot.relayed_bytes);
  count("gullward_configs_from_peers_total", "Configurations that peers have handed on",
        snapshot.configs_from_peers);
  count("gullward_store_returns_total", "Returns of the store from an older copy",
        snapshot.store_returns);
  for (const auto& [code, failures] : counters.failures) {
    text->Counter("gullward_failures_total", "Failures answered by gullward",
                  {{"code", absl::StrCat(static_cast<uint32_t>(code))}, {"name", Info(code).name}},
                  static_cast<double>(failures));
  }
  for (const auto& [rank, refusals] : counters.refusals_by_rank) {
    text->Counter("gullward_refusals_by_rank_total",
                  "Refusals for overload where ranks differ, by rank",
                  {{"rank", absl::StrCat(rank)}}, static_cast<double>(refusals));
  }
}

// Adds the metrics about requests that crash engines.
void AddCrashes(const CrashWatch& watch, MetricsText* text) {
  for (const auto& [finding, attempts] : watch.broken_attempts()) {
    text->Counter("gullward_attempts_broken_total",
                  "Attempts that broke off, by what had become of the engine",
                  {{"engine", NameOf(finding)}}, static_cast<double>(attempts));
  }
  auto count = [text](const std::string& name, const std::string& help, uint64_t value) {
    text->Counter(name, help, {}, static_cast<double>(value));
  };
  count("gullward_crash_news_dropped_total", "News of ended engines that nobody was told",
        watch.gossip_dropped());
  count("gullward_suspects_forgotten_total", "Contents and parts forgotten for want of room",
        watch.quarantine().forgotten());
  count("gullward_quarantine_unkept_total",
        "Contents and parts in quarantine without room in the store", watch.unstored_entries());
  text->Gauge("gullward_suspects", "Contents and parts under which an engine has ended", {},
              static_cast<double>(watch.quarantine().suspects()));
  text->Gauge("gullward_quarantined", "Contents and parts in quarantine", {},
              static_cast<double>(watch.quarantine().quarantined()));
}

// Adds the price of engine time and the served shares of routes; nothing while they are not
// learned.
void AddPrices(const WorkPrices& prices, MetricsText* text) {
  for (const auto& [service, figures] : prices.services()) {
    text->Gauge("gullward_room_price", "Value of an engine second, in short requests",
                {{"service", service}}, figures.price);
    for (const auto& [route, share] : figures.routes) {
      text->Gauge("gullward_route_served_share", "Share of first tries that is not refused",
                  {{"service", service}, {"route", route}}, share.served);
    }
  }
}

void AddLatencies(const GatewayCounters& counters, MetricsText* text) {
  for (const auto& [length, histogram] : counters.first_event) {
    text->Histogram("gullward_first_event_seconds", "From a request's arrival to its first event",
                    {{"prompt", length}}, histogram);
  }
  for (const auto& [length, histogram] : counters.longest_pause) {
    text->Histogram("gullward_longest_pause_seconds", "Longest pause within a stream",
                    {{"prompt", length}}, histogram);
  }
  text->Histogram("gullward_plain_answer_seconds", "From arrival to an answer that is no stream",
                  {}, counters.plain_answer);
}

void AddStart(const StartSteps& start, MetricsText* text) {
  const char* const help = "From the start of this process until a step of it was done";
  auto add = [&](const char* step, std::optional<Duration> took) {
    if (took) text->Gauge("gullward_start_seconds", help, {{"step", step}}, ToSeconds(*took));
  };
  for (const StartStepName& step : kStartSteps) add(step.name, start.TimeOf(step.step));
  add("serving", start.serving_after());
}

void AddProcess(MetricsText* text) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  text->Counter("gullward_processor_seconds_total", "Processor time of this process", {},
                ToSeconds(seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
                          Duration(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec)));
  text->Gauge("gullward_peak_memory_bytes", "Largest resident memory", {},
              static_cast<double>(usage.ru_maxrss) * kBytesPerKilobyte);
}

}  // namespace

std::string MetricsPage(const GatewayCounters& counters, const MetricsSnapshot& snapshot) {
  MetricsText text;
  AddCounts(counters, snapshot, &text);
  AddCrashes(*snapshot.crashes, &text);
  AddPrices(*snapshot.prices, &text);
  AddLatencies(counters, &text);
  text.Gauge("gullward_callers", "Connections of callers", {},
             static_cast<double>(snapshot.callers));
  text.Gauge("gullward_max_callers", "Connections of callers that may be open", {},
             static_cast<double>(snapshot.max_callers));
  text.Gauge("gullward_request_memory_bytes", "What requests hold until they are answered", {},
             static_cast<double>(snapshot.request_memory));
  text.Gauge("gullward_engines", "Engines on the list", {}, static_cast<double>(snapshot.engines));
  text.Gauge("gullward_peers", "Other gateways known", {}, static_cast<double>(snapshot.peers));
  text.Gauge("gullward_neighbours", "Gateways of the home cell that are told at once", {},
             static_cast<double>(snapshot.neighbours));
  text.Gauge("gullward_home_engines", "Engines of the home cells", {},
             static_cast<double>(snapshot.home_engines));
  text.Gauge("gullward_engines_limited", "Engines that name a limit", {},
             static_cast<double>(snapshot.engines_limited));
  text.Gauge("gullward_engines_leaving", "Engines that have said that they leave", {},
             static_cast<double>(snapshot.engines_leaving));
  text.Gauge("gullward_engines_resting", "Engines that have asked this gateway for a pause", {},
             static_cast<double>(snapshot.engines_resting));
  text.Gauge("gullward_engines_cold", "Engines that are cold", {},
             static_cast<double>(snapshot.engines_cold));
  text.Gauge("gullward_engines_slow", "Engines that take 1.5 times as long as published or longer",
             {}, static_cast<double>(snapshot.engines_slow));
  text.Gauge("gullward_engine_pace_highest",
             "The slowest engine's time, as a multiple of published", {}, snapshot.highest_pace);
  text.Gauge("gullward_evacuated_data_centres", "Data centres that the operator evacuates", {},
             static_cast<double>(snapshot.evacuated_data_centres));
  AddStart(*snapshot.start, &text);
  AddProcess(&text);
  text.Gauge("gullward_config_version", "Configuration in force", {},
             static_cast<double>(snapshot.config_version));
  text.Gauge("gullward_config_age_seconds", "Since the configuration was proved current", {},
             ToSeconds(snapshot.config_age));
  return text.Serialize();
}

}  // namespace gullward
