#include "fuzz/fuzz.h"
#include "records/codec.h"
#include "records/record_table.h"

namespace {

using namespace wigeonstair;

constexpr auto kEncode = [](const auto& value) {
  return records::Encode(value);
};

}  // namespace

// Commands, answers and messages of the records.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  switch (input.decoder % 4) {
    case 0: {
      fuzz::RoundTrip(input.bytes, records::DecodeCommand, kEncode);
      records::RecordTable table;
      for (int i = 0; i < 2; ++i) {
        const std::string answer = table.ApplyEncoded(input.bytes);
        fuzz::Accepted([&] { return records::DecodeAnswer(answer); });
      }
      break;
    }
    case 1:
      fuzz::RoundTrip(input.bytes, records::DecodeAnswer, kEncode);
      break;
    case 2:
      fuzz::RoundTrip(input.bytes, records::DecodeReply, kEncode);
      break;
    default:
      fuzz::RoundTrip(input.bytes, records::DecodeQuery, kEncode);
  }
  return 0;
}
