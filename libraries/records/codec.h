#ifndef WIGEONSTAIR_LIBRARIES_RECORDS_CODEC_H_
#define WIGEONSTAIR_LIBRARIES_RECORDS_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "records/messages.h"
#include "records/record_command.h"

namespace wigeonstair::records {

// Portable cereal encoding of the log entries and messages of this library.
// Decoding fails with kCorruptData and never throws; trailing bytes are
// refused as well.
std::string Encode(const RecordCommand& command);
std::string Encode(const RecordAnswer& answer);
std::string Encode(const RecordReply& reply);
std::string Encode(const RecordQuery& query);

base::Result<RecordCommand> DecodeCommand(std::string_view bytes);
base::Result<RecordAnswer> DecodeAnswer(std::string_view bytes);
base::Result<RecordReply> DecodeReply(std::string_view bytes);
base::Result<RecordQuery> DecodeQuery(std::string_view bytes);

}  // namespace wigeonstair::records

#endif  // WIGEONSTAIR_LIBRARIES_RECORDS_CODEC_H_
