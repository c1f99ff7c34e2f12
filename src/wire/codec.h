// Turns messages and log records into bytes and back.
//
// A frame on a connection is four bytes of length, least significant first,
// and then that many bytes of FlatBuffers.  Nothing a peer sends is trusted: a
// buffer is verified as a whole before a field of it is read, and one that
// fails is an error value, never a crash.  Encoding cannot fail.
//
//   connection.Write(EncodeFrame(Cancel{id}));
//   absl::StatusOr<Message> message = DecodeMessage(bytes_without_length);
//
// Log records carry the schema number of their writer.  A record with another
// number is not an error of the bytes: it decodes to UnknownRecord, which every
// reader skips and counts alike.

#ifndef GULLWARD_WIRE_CODEC_H_
#define GULLWARD_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "wire/log_records.h"
#include "wire/messages.h"

namespace gullward {

// The bytes of length in front of each frame.
inline constexpr size_t kFrameHeaderBytes = 4;

// The longest frame that is accepted: a prompt of a million tokens is about
// 5 MB, so this leaves room for text with many bytes a token.
inline constexpr size_t kMaxFrameBytes = 24u << 20;

// A whole frame: length and FlatBuffers.
std::string EncodeFrame(const Message& message);

// Reads one message from a frame without its length.  Returns
// InvalidArgument where the bytes fail verification or name an unknown kind.
absl::StatusOr<Message> DecodeMessage(std::string_view bytes);

// A record for the platform's log.
std::string EncodeRecord(const LogRecord& record);

// Reads a record of the log.  Bytes that fail verification and records of
// another schema both give UnknownRecord: all readers must skip the same ones.
LogRecord DecodeRecord(std::string_view bytes);

}  // namespace gullward

#endif  // GULLWARD_WIRE_CODEC_H_
