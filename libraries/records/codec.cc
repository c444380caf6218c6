#include "records/codec.h"

#include "net/codec.h"

namespace wigeonstair::records {

std::string Encode(const RecordCommand& command) {
  return net::Encode(command);
}

std::string Encode(const RecordAnswer& answer) {
  return net::Encode(answer);
}

std::string Encode(const RecordReply& reply) {
  return net::Encode(reply);
}

std::string Encode(const RecordQuery& query) {
  return net::Encode(query);
}

base::Result<RecordCommand> DecodeCommand(std::string_view bytes) {
  return net::Decode<RecordCommand>(bytes);
}

base::Result<RecordAnswer> DecodeAnswer(std::string_view bytes) {
  return net::Decode<RecordAnswer>(bytes);
}

base::Result<RecordReply> DecodeReply(std::string_view bytes) {
  return net::Decode<RecordReply>(bytes);
}

base::Result<RecordQuery> DecodeQuery(std::string_view bytes) {
  return net::Decode<RecordQuery>(bytes);
}

}  // namespace wigeonstair::records
