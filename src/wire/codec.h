// Encodes messages and log records as FlatBuffers and decodes them.
//
// A frame on a connection consists of a length in four bytes, least significant first, and
// that many bytes of FlatBuffers.  Bytes from a peer are not trusted: the whole buffer is
// verified before any field is read, and a buffer that fails verification gives an error,
// never a crash.  Encoding cannot fail.
//
//   connection.Write(EncodeFrame(Cancel{id}));
//   absl::StatusOr<Message> message = DecodeMessage(bytes_without_length);
//
// Log records carry the schema number of their writer.  A record with another schema number
// is not an error: it decodes to UnknownRecord, which every reader skips and counts.

#ifndef GULLWARD_WIRE_CODEC_H_
#define GULLWARD_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "wire/log_records.h"
#include "wire/messages.h"

namespace gullward {

// Size of the length in front of each frame.
inline constexpr size_t kFrameHeaderBytes = 4;

// The longest frame that is accepted, without its header.  A prompt of a million tokens has
// about 5 MB, so this leaves a margin for texts with more bytes per token.
inline constexpr size_t kMaxFrameBytes = 24u << 20;

// Returns a whole frame, including the length.
std::string EncodeFrame(const Message& message);

// Decodes the message of a frame, given without the length.  Returns InvalidArgument if the
// bytes fail verification or hold a message of an unknown kind.
absl::StatusOr<Message> DecodeMessage(std::string_view bytes);

// Encodes a record for the platform's log.
std::string EncodeRecord(const LogRecord& record);

// Decodes a record of the log.  Returns UnknownRecord both for bytes that fail verification
// and for records of another schema, so that all readers skip the same records.
LogRecord DecodeRecord(std::string_view bytes);

}  // namespace gullward

#endif  // GULLWARD_WIRE_CODEC_H_
