#include "consensus/log_segment.h"

#include <algorithm>

#include "consensus/codec.h"
#include "consensus/log_storage.h"
#include "fuzz/fuzz.h"
#include "tests/consensus/fake_disk.h"

namespace {

using namespace wigeonstair;

// Starts a replica's storage on a folder with one segment, and again on what
// the first start left.
void Load(std::string_view segment) {
  consensus::FakeDisk disk(1);
  fuzz::Require(fuzz::Accepted([&]() -> consensus::DiskResult {
                  const auto file = TRY(disk.Create(consensus::SegmentName(1)));
                  return file->Append(segment);
                }).has_value());
  const auto start = [&] {
    return fuzz::Accepted([&] {
             return consensus::LogStorage::create(
                 {.disk = &disk, .group = "test", .host = base::HostId("h0")});
           })
        .has_value();
  };
  if (start())
    fuzz::Require(start());
}

// The input as payloads with right checksums, which no mutation would find. The
// second byte is the length of the first payload.
void LoadPayloads(std::string_view bytes) {
  if (bytes.empty())
    return;
  const std::size_t first = static_cast<unsigned char>(bytes[0]);
  bytes.remove_prefix(1);
  std::string segment;
  for (const std::string_view payload :
       {bytes.substr(0, first), bytes.substr(std::min(first, bytes.size()))}) {
    if (!payload.empty())
      segment += consensus::MakeFrame(1, segment.size(), payload);
  }
  Load(segment);
}

}  // namespace

// Segment files of a replicated log and the records in them.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  switch (input.decoder % 4) {
    case 0:
      Load(input.bytes);
      break;
    case 1:
      LoadPayloads(input.bytes);
      break;
    case 2:
      fuzz::RoundTrip(input.bytes, consensus::Decode<consensus::SegmentHeader>,
                      [](const consensus::SegmentHeader& header) {
                        return consensus::Encode(header);
                      });
      break;
    default:
      fuzz::RoundTrip(input.bytes, consensus::Decode<consensus::BatchRecords>,
                      [](const consensus::BatchRecords& records) {
                        return consensus::Encode(records);
                      });
  }
  return 0;
}
