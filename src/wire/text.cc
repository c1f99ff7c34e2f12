// One Format function for each message.

#include "wire/text.h"

#include <xxhash.h>

#include <cstdio>

namespace gullward {
namespace {

constexpr size_t kMaxShownBytes = 40;

std::string ToDecimal(uint64_t value) { return std::to_string(value); }

std::string Format(const Hello& m) { return "hello box=" + m.box + " zone=" + m.zone; }

std::string Format(const EntryHeartbeat& m) {
  return "entry_heartbeat config=" + std::to_string(m.config_offset);
}

std::string Format(const EndpointHeartbeat& m) {
  std::string text = "endpoint_heartbeat config=" + std::to_string(m.config_offset);
  if (m.leaving) text += " leaving";
  for (const EngineLoad& load : m.engines) {
    text += " " + load.name + (load.up ? "=up" : "=down") + ",free=" + ToDecimal(load.free_tokens) +
            "/" + ToDecimal(load.total_tokens);
  }
  return text;
}

std::string Format(const Reserve& m) {
  return "reserve " + ToString(m.id) + " engine=" + ToDecimal(m.engine) +
         " tokens=" + ToDecimal(m.tokens) + " value=" + ToDecimal(m.value) +
         " age=" + ToDecimal(m.age_ms) + "ms";
}

std::string Format(const Reserved& m) {
  return "reserved " + ToString(m.id) + " engine=" + ToDecimal(m.engine);
}

std::string Format(const Offer& m) {
  std::string text = "offer " + ToString(m.id) + " engine=" + ToDecimal(m.engine);
  if (m.service.empty()) {
    text += " model=" + m.model + " tokens=" + ToDecimal(m.prompt_tokens) + "+" +
            ToDecimal(m.max_tokens) + " priority=" + ToDecimal(m.priority);
  } else {
    text += " service=" + m.service + " " + m.method + " " + m.path;
  }
  text += " prompt=" + Abbreviate(m.prompt) + " deadline=" + ToDecimal(m.deadline_ms) + "ms";
  if (!m.repeatable) text += " once";
  if (m.pieces > 1) text += " piece=" + ToDecimal(m.piece) + "/" + ToDecimal(m.pieces);
  for (const KvContext& context : m.context) {
    text += " after=" + context.allocation + "@" + context.address;
  }
  return text;
}

std::string Format(const Accepted& m) { return "accepted " + ToString(m.id); }

std::string Format(const Refused& m) {
  return "refused " + ToString(m.id) + " engine=" + ToDecimal(m.engine) + " " + Info(m.code).name +
         " retry=" + ToDecimal(m.retry_after_ms) + "ms";
}

std::string Format(const Chunk& m) {
  return "chunk " + ToString(m.id) + " " + ToDecimal(m.index) + " " + Abbreviate(m.text);
}

std::string Format(const Done& m) {
  std::string text = "done " + ToString(m.id) + " chunks=" + ToDecimal(m.chunks);
  if (m.status != 0) return text + " status=" + ToDecimal(m.status);
  text += " " + m.finish_reason + " tokens=" + ToDecimal(m.prompt_tokens) + "+" +
          ToDecimal(m.completion_tokens);
  if (!m.kept.allocation.empty()) text += " kept=" + m.kept.allocation + "@" + m.kept.address;
  return text;
}

std::string Format(const Failed& m) {
  return "failed " + ToString(m.id) + " " + Info(m.code).name + " ran=" + ToString(m.ran);
}

std::string Format(const Cancel& m) { return "cancel " + ToString(m.id); }

std::string Format(const ConfigFetch& m) { return "config_fetch after=" + std::to_string(m.after); }

std::string Format(const ConfigRecords& m) {
  return "config_records " + ToDecimal(m.records.size());
}

}  // namespace

std::string Abbreviate(const std::string& text) {
  if (text.size() > kMaxShownBytes) {
    char hash[17];
    std::snprintf(hash, sizeof(hash), "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return "<" + std::to_string(text.size()) + " bytes " + hash + ">";
  }
  std::string quoted = "\"";
  for (char c : text) {
    if (c == '\n') {
      quoted += "\\n";
    } else if (c == '"' || c == '\\') {
      quoted += std::string("\\") + c;
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

std::string Text(const Message& message) {
  return std::visit([](const auto& m) { return Format(m); }, message);
}

std::string Text(const ClaimBatch& batch) {
  std::string text = "claims " + ToDecimal(batch.id.sequence);
  for (const ClaimRecord& record : batch.records) {
    text += record.kind == ClaimKind::kClaim ? " claim " : " release ";
    text += ToDecimal(record.key_hash) + " " + ToString(record.request);
  }
  return text;
}

}  // namespace gullward
