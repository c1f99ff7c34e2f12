// One Show function for each message; text.h tells the form.

#include "wire/text.h"

#include <xxhash.h>

#include <cstdio>

namespace gullward {
namespace {

constexpr size_t kLongestShown = 40;

std::string Number(uint64_t value) { return std::to_string(value); }

std::string Show(const Hello& m) { return "hello box=" + m.box + " zone=" + m.zone; }

std::string Show(const EntryHeartbeat& m) {
  return "entry_heartbeat config=" + std::to_string(m.config_offset);
}

std::string Show(const EndpointHeartbeat& m) {
  std::string text = "endpoint_heartbeat config=" + std::to_string(m.config_offset);
  if (m.leaving) text += " leaving";
  for (const EngineLoad& load : m.engines) {
    text += " " + load.name + (load.up ? "=up" : "=down") + ",free=" + Number(load.free_tokens) +
            "/" + Number(load.total_tokens);
  }
  return text;
}

std::string Show(const Reserve& m) {
  return "reserve " + ToString(m.id) + " engine=" + Number(m.engine) +
         " tokens=" + Number(m.tokens) + " value=" + Number(m.value) + " age=" + Number(m.age_ms) +
         "ms";
}

std::string Show(const Reserved& m) {
  return "reserved " + ToString(m.id) + " engine=" + Number(m.engine);
}

std::string Show(const Offer& m) {
  std::string text = "offer " + ToString(m.id) + " engine=" + Number(m.engine);
  if (m.service.empty()) {
    text += " model=" + m.model + " tokens=" + Number(m.prompt_tokens) + "+" +
            Number(m.max_tokens) + " priority=" + Number(m.priority);
  } else {
    text += " service=" + m.service + " " + m.method + " " + m.path;
  }
  text += " prompt=" + Brief(m.prompt) + " deadline=" + Number(m.deadline_ms) + "ms";
  if (!m.repeatable) text += " once";
  if (m.pieces > 1) text += " piece=" + Number(m.piece) + "/" + Number(m.pieces);
  for (const KvContext& context : m.context) {
    text += " after=" + context.allocation + "@" + context.address;
  }
  return text;
}

std::string Show(const Accepted& m) { return "accepted " + ToString(m.id); }

std::string Show(const Refused& m) {
  return "refused " + ToString(m.id) + " engine=" + Number(m.engine) + " " + Info(m.code).name +
         " retry=" + Number(m.retry_after_ms) + "ms";
}

std::string Show(const Chunk& m) {
  return "chunk " + ToString(m.id) + " " + Number(m.index) + " " + Brief(m.text);
}

std::string Show(const Done& m) {
  std::string text = "done " + ToString(m.id) + " chunks=" + Number(m.chunks);
  if (m.status != 0) return text + " status=" + Number(m.status);
  text += " " + m.finish_reason + " tokens=" + Number(m.prompt_tokens) + "+" +
          Number(m.completion_tokens);
  if (!m.kept.allocation.empty()) text += " kept=" + m.kept.allocation + "@" + m.kept.address;
  return text;
}

std::string Show(const Failed& m) {
  return "failed " + ToString(m.id) + " " + Info(m.code).name + " ran=" + ToString(m.ran);
}

std::string Show(const Cancel& m) { return "cancel " + ToString(m.id); }

std::string Show(const ConfigFetch& m) { return "config_fetch after=" + std::to_string(m.after); }

std::string Show(const ConfigRecords& m) { return "config_records " + Number(m.records.size()); }

}  // namespace

std::string Brief(const std::string& text) {
  if (text.size() > kLongestShown) {
    char hash[17];
    std::snprintf(hash, sizeof(hash), "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return "<" + std::to_string(text.size()) + " bytes " + hash + ">";
  }
  std::string shown = "\"";
  for (char c : text) {
    if (c == '\n') {
      shown += "\\n";
    } else if (c == '"' || c == '\\') {
      shown += std::string("\\") + c;
    } else {
      shown += c;
    }
  }
  return shown + "\"";
}

std::string Text(const Message& message) {
  return std::visit([](const auto& m) { return Show(m); }, message);
}

std::string Text(const ClaimBatch& batch) {
  std::string text = "claims " + Number(batch.id.sequence);
  for (const ClaimRecord& record : batch.records) {
    text += record.kind == ClaimKind::kClaim ? " claim " : " release ";
    text += Number(record.key_hash) + " " + ToString(record.request);
  }
  return text;
}

}  // namespace gullward
