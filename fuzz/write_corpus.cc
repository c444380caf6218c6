// Writes the valid inputs of all fuzz targets into a folder. Run it after an
// intended change of a format: build-fuzz/bin/fuzz_write_corpus fuzz/corpus
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "authority/messages.h"
#include "cluster/cluster_codec.h"
#include "cluster/cluster_state.h"
#include "cluster/messages.h"
#include "consensus/codec.h"
#include "consensus/log_segment.h"
#include "consensus/runtime_frame.h"
#include "jobs/api.h"
#include "jobs/job_store.h"
#include "membership/message.h"
#include "net/datagram.h"
#include "net/frame.h"
#include "records/codec.h"
#include "records/record_table.h"
#include "settings/cluster_configuration.h"
#include "tests/settings/example_documents.h"

namespace wigeonstair::fuzz {

namespace {

class Corpus {
 public:
  explicit Corpus(std::filesystem::path folder) : folder_(std::move(folder)) {}

  // `decoder` is the first byte of the input.
  void Add(const std::string& target,
           const std::string& name,
           int decoder,
           const std::string& bytes) {
    AddWhole(target, name, static_cast<char>(decoder) + bytes);
  }

  void AddWhole(const std::string& target,
                const std::string& name,
                const std::string& bytes) {
    std::filesystem::create_directories(folder_ / target);
    std::ofstream(folder_ / target / name, std::ios::binary) << bytes;
  }

 private:
  std::filesystem::path folder_;
};

void AddNet(Corpus& corpus) {
  const net::Frame call{
      .type = 100, .kind = net::FrameKind::kCall, .call = 7, .body = "body"};
  const std::string frames =
      net::EncodeFrame(0, call) + net::EncodeFrame(0, net::Frame{.type = 1});
  corpus.Add("frame", "two", 40, frames);
  corpus.AddWhole("datagram", "gossip", net::EncodeDatagram(0, 400, "body"));
  corpus.AddWhole("datagram", "empty", net::EncodeDatagram(0, 410, ""));
}

void AddRequests(Corpus& corpus) {
  const std::string head = "POST /a/0 HTTP/1.1\r\nHost: h\r\n";
  corpus.Add("request", "plain", 1, "GET /a%20b?c=d HTTP/1.1\r\n\r\n");
  corpus.Add("request", "body", 7, head + "Content-Length: 4\r\n\r\nbody");
  corpus.Add("request", "chunked", 3,
             head +
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: x\r\n\r\n");
  corpus.Add("request", "two", 0,
             "\r\n" + head + "Content-Length: 1\r\n\r\nx" + head + "\r\n");
}

void AddLeases(Corpus& corpus) {
  const base::HostId host("h0");
  const authority::Message messages[] = {
      authority::LeaseRequest{.sender = host,
                              .purpose = authority::RequestPurpose::kRenew,
                              .epoch = 5,
                              .round = 1,
                              .list_version = 2,
                              .retired_version = 1},
      authority::LeaseReply{.sender = host,
                            .answer = authority::LeaseAnswer::kTaken,
                            .epoch = 5,
                            .round = 1,
                            .list_version = 2,
                            .seen_epoch = 6,
                            .holder = base::HostId("h1"),
                            .holder_epoch = 4},
      authority::LeaseRelease{.sender = host, .epoch = 6}};
  for (int i = 0; i < 3; ++i) {
    corpus.Add("lease_message", std::to_string(i), i,
               authority::EncodeMessage(messages[i]));
  }
}

void AddMembership(Corpus& corpus) {
  using namespace membership;
  const MemberId id{.host = base::HostId("h1"), .role = HostRole::kEntry};
  const base::DomainId domain("d0");
  const net::Address address{.ip = "127.0.0.1", .port = 9};
  const MemberRecord self{.id = id,
                          .domain = domain,
                          .messages = address,
                          .http = address,
                          .incarnation = 5,
                          .state = MemberState::kSuspect};
  const std::vector<Record> records = {
      self, StatusRecord{.id = id, .version = 7},
      CapacityRecord{.domain = domain, .epoch = 3},
      ServicesRecord{.domain = domain,
                     .publisher = id,
                     .services = {{.service = "s", .upstreams = 2}}},
      UpstreamRecord{.id = base::UpstreamId("u1"),
                     .service = "s",
                     .domain = domain,
                     .address = address,
                     .observer = id}};
  for (int kind = 0; kind <= static_cast<int>(MessageKind::kHeartbeats);
       ++kind) {
    Message message{.kind = static_cast<MessageKind>(kind),
                    .sender = id,
                    .sender_domain = domain,
                    .sequence = 3,
                    .target = id,
                    .digest = {.global = 1, .domain = 2}};
    message.bucket_hashes.assign(kBuckets, 7);
    message.wanted_buckets.set(3);
    message.heartbeats = {UpstreamHash(base::UpstreamId("u1"))};
    message.records = records;
    corpus.Add("membership_message", "message" + std::to_string(kind), 0,
               EncodeMessage(message));
  }
  corpus.Add("membership_message", "join", 1,
             EncodeJoinRequest({.domain = domain, .self = self}));
  corpus.Add("membership_message", "copy", 2,
             EncodeFullCopy({.domain = domain, .records = records}));
}

std::vector<consensus::Payload> Payloads() {
  using namespace consensus;
  const Entry entry{.term = 3, .kind = EntryKind::kCommand, .data = "7 12"};
  return {VoteRequest{.kind = VoteKind::kTransfer, .election_term = 4},
          VoteReply{.election_term = 4, .verdict = Verdict::kGranted},
          AppendRequest{.previous_index = 298, .entries = {entry, entry}},
          AppendReply{.index = 298, .conflict_term = 2},
          SnapshotChunk{.snapshot_index = 200, .bytes = "state"},
          SnapshotChunkReply{.snapshot_index = 200, .next_offset = 69},
          TransferRequest{.last_index = 300},
          FormationQuery{.members_checksum = 99},
          FormationReply{.state = FormationState::kExisting},
          RejoinRequest{.address = "127.0.0.1:7000", .replaces = 1},
          RejoinReply{.listed = 1}};
}

const consensus::MemberList kMembers = {
    {.host = base::HostId("h0"), .address = "127.0.0.1:7000"},
    {.host = base::HostId("h1"),
     .address = "127.0.0.1:7001",
     .role = consensus::MemberRole::kCatchingUp,
     .incarnation = 12'345}};

void AddConsensus(Corpus& corpus) {
  using namespace consensus;
  int number = 0;
  for (Payload& payload : Payloads()) {
    corpus.Add("consensus_message", "message" + std::to_string(number++), 0,
               Encode(Message{.from = base::HostId("h0"),
                              .from_incarnation = 1,
                              .to = base::HostId("h1"),
                              .to_incarnation = 2,
                              .term = 4,
                              .payload = std::move(payload)}));
  }
  corpus.Add("consensus_message", "members", 1, Encode(kMembers));
  corpus.Add("consensus_message", "change", 2,
             Encode(MemberChange{.kind = MemberChangeKind::kAddVoter,
                                 .host = base::HostId("h2"),
                                 .address = "127.0.0.1:7002"}));
  corpus.Add("consensus_message", "group", 3,
             Encode(GroupFrame{.group = "cluster", .body = "body"}));
  corpus.Add("consensus_message", "reply", 4,
             Encode(ForwardReply{.status = 1, .text = "late", .index = 3}));
}

void AddLog(Corpus& corpus) {
  using namespace consensus;
  const std::string header = Encode(SegmentHeader{
      .format = 2, .group = "test", .host = base::HostId("h0"), .state = {}});
  const std::string records = Encode(BatchRecords{
      {.has_hard_state = 1,
       .hard_state = {.term = 1, .vote = {}, .incarnation = 1},
       .first_index = 1,
       .entries = {
           {.term = 1, .kind = EntryKind::kMembers, .data = Encode(kMembers)},
           {.term = 1, .kind = EntryKind::kCommand, .data = "1"}}}});
  std::string segment = MakeFrame(1, 0, header);
  segment += MakeFrame(1, segment.size(), records);
  corpus.Add("log_segment", "segment", 0, segment);
  corpus.Add("log_segment", "reserved", 0, segment + std::string(64, '\0'));
  corpus.Add("log_segment", "payloads", 1,
             static_cast<char>(header.size()) + header + records);
  corpus.Add("log_segment", "header", 2, header);
  corpus.Add("log_segment", "records", 3, records);
}

void AddRecords(Corpus& corpus) {
  using namespace records;
  const RecordKey key{.customer = base::CustomerId("c"), .key = "key-1"};
  const ClaimAttempt attempt{.host = base::HostId("h"), .number = 3};
  const StoredAnswer answer{.status = 201,
                            .content_type = "application/json",
                            .body = "{}",
                            .upstream = base::UpstreamId("u")};
  const RecordCommand claim = Claim{.key = key,
                                    .fingerprint = 7,
                                    .attempt = attempt,
                                    .time_milliseconds = 1'000,
                                    .issued_milliseconds = 900};
  const RecordCommand complete = Complete{.key = key,
                                          .attempt = attempt,
                                          .time_milliseconds = 1'100,
                                          .answer = answer};
  const RecordCommand mark =
      MarkNotRun{.key = key, .attempt = attempt, .time_milliseconds = 1'200};
  corpus.Add("record_command", "claim", 0, Encode(claim));
  corpus.Add("record_command", "complete", 0, Encode(complete));
  corpus.Add("record_command", "mark", 0, Encode(mark));
  RecordTable table;
  corpus.Add("record_command", "answer", 1, Encode(table.Apply(claim)));
  table.Apply(complete);
  corpus.Add("record_command", "reply", 2,
             Encode(RecordReply{.status = ReplyStatus::kCommitted,
                                .answer = table.Query(key),
                                .detail = "d"}));
  corpus.Add("record_command", "query", 3, Encode(RecordQuery{.key = key}));
  corpus.Add("snapshot", "records", 2, table.Snapshot());
}

void AddCluster(Corpus& corpus) {
  using namespace cluster;
  const auto parsed = base::Capture([] {
    return settings::ClusterConfigurationFromYaml(settings::kClusterYaml, "");
  });
  const auto& configuration = std::get<ClusterConfiguration>(parsed);
  const ConfigurationPatch patch = DiffConfigurations({}, configuration);
  const base::DomainId domain = configuration.domains.front().id;
  const base::JobId job("j1");
  const Command commands[] = {
      ApplyConfiguration{.operation = "first",
                         .target_hash = HashConfiguration(configuration),
                         .patch = patch},
      SubmitJob{
          .operation = "submit",
          .specification = {.id = job,
                            .customer = configuration.customers.front().id}},
      AssignJob{.job = job, .domain = domain},
      KeepCheckpoint{.job = job, .assignment = 1, .checkpoint_milliseconds = 9},
      SetDomainStatus{
          .operation = "out", .domain = domain, .status = DomainStatus::kOut},
      ReleaseJob{.job = job, .domain = domain, .assignment = 1},
      CancelJob{.operation = "cancel", .job = job},
      FinishJob{.job = job, .assignment = 1, .detail = "d"},
      SuspendHost{.host = base::HostId("h0"), .expected_revision = 1},
      RestoreHost{.host = base::HostId("h0"), .expected_revision = 1},
      RetireHostLists{.domain = domain, .revision = 1},
      ConfirmHostStopped{.operation = "stop", .host = base::HostId("h0")},
      RetireWorkerCounts{.domain = domain, .revision = 1}};
  ClusterState state;
  int number = 0;
  for (const Command& command : commands) {
    const std::string name = std::to_string(number++);
    corpus.Add("cluster_command", "command" + name, 0, EncodeCommand(command));
    corpus.Add("cluster_command", "reply" + name, 1,
               EncodeReply(state.Apply(command)));
  }
  corpus.Add("cluster_command", "view_request", 2,
             EncodeViewRequest({.known_revision = 3}));
  corpus.Add("cluster_command", "view", 3,
             EncodeViewReply({.kind = ViewKind::kFull,
                              .revision = 1,
                              .patch = patch,
                              .domains = state.domains()}));
  corpus.Add("snapshot", "cluster", 1, state.Snapshot());
  corpus.Add("snapshot", "replica", 0,
             consensus::Encode(consensus::Snapshot{
                 .index = 9, .term = 2, .members = kMembers, .state = "s"}));
  corpus.Add("configuration", "cluster_json", 1,
             settings::ClusterConfigurationToJson(configuration));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void AddDocuments(Corpus& corpus) {
  corpus.Add("configuration", "cluster_yaml", 0, settings::kClusterYaml);
  corpus.Add("configuration", "settings", 2, settings::kSettingsYaml);
  corpus.Add("configuration", "questionnaire", 3,
             ReadFile("examples/scheldebloem.yaml"));
}

// The documents of docs/api.md.
void AddJson(Corpus& corpus) {
  corpus.Add(
      "worker_json", "registration", 0,
      R"({"domain":"d0","rack":"r1","cores":64,"memory_mb":1024,)"
      R"("accelerators":8,"incarnation":1,"epoch":0,"sequence":1,"tasks":[)"
      R"({"job":"j1","index":0,"attempt":1,"state":"running","progress_ms":9,)"
      R"("checkpoint_ms":5,"accelerators":[0,1],"result":"r"}]})");
  corpus.Add(
      "worker_json", "report", 1,
      R"({"incarnation":1,"epoch":0,"sequence":2,"tasks":[],"completed":[1],)"
      R"("full":true,"task_count":0,"wait_ms":1000,"answered_sequence":1,)"
      R"("usage":{"cores":1,"memory_mb":2,"measured_ms_ago":3}})");
  corpus.Add(
      "worker_json", "answer", 2,
      R"({"epoch":1,"acknowledged_sequence":2,"full_report":true,)"
      R"("report_after_ms":1000,"wait_ms":1000,"directives":[{"id":1,"epoch":)"
      R"(1,"kind":"prepare","job":"j1","index":0,"attempt":1,"accelerators":)"
      R"([0],"cores":4,"memory_mb":16,"run_ms":100,"resume_from_ms":0,)"
      R"("payload":"p","lease_ms":10000}]})");
  corpus.Add("worker_json", "registered", 3,
             R"({"epoch":1,"report_interval_ms":1000,"lease_ms":10000,)"
             R"("wait_ms":1000})");
  corpus.Add(
      "caller_json", "once", 0,
      "POST\nbooking/credit\na=b\nWigeonstair-Customer:acme\n"
      "Request-Key:request-key-1\nRequest-Issued:1800000000000\n\ncredit");
  corpus.Add("caller_json", "idempotent", 0,
             "GET\nbooking/day%20one\n\nWigeonstair-Customer:acme\n"
             "Wigeonstair-Deadline-Ms:500\n\n");
  corpus.Add("caller_json", "announce", 1,
             "PUT\nu1\n\n\n"
             R"({"service":"s","domain":"d1","address":"127.0.0.1:9",)"
             R"("slots":8,"connections":64,"incarnation":1})");
  corpus.Add("caller_json", "heartbeat", 1,
             "POST\nu1/heartbeat\n\n\n{\"incarnation\":1}");
}

void AddJobs(Corpus& corpus) {
  const jobs::JobRecord job{.id = base::JobId("0123456789abcdef"),
                            .queue = "q",
                            .pool = "p",
                            .spec = {.payload = "x", .steps = {{.count = 2}}}};
  const jobs::TaskRef task{.job = job.id};
  corpus.Add("job_command", "submit", 0,
             jobs::EncodeCommand(jobs::SubmitJob{.job = job}));
  corpus.Add("job_command", "place", 0,
             jobs::EncodeCommand(jobs::PlaceTasks{
                 .term = 1, .placements = {{.task = task, .attempt = 1}}}));
  corpus.Add("job_command", "run_times", 0,
             jobs::EncodeCommand(jobs::RecordRunTimes{
                 .samples = {{.key = {.queue = "q"}, .run_ms = 9}}}));
  corpus.Add("job_command", "call", 1,
             jobs::EncodeCall(jobs::SubmitCall{.spec = job.spec}));
  corpus.Add("job_command", "envelope", 2,
             jobs::EncodeEnvelope({.reply = jobs::Reply{}, .leader = "a"}));
  jobs::JobStore store;
  store.Apply(jobs::SubmitJob{.job = job});
  store.Apply(jobs::TakeOver{.term = 1});
  corpus.Add("job_command", "snapshot", 3, store.Snapshot());
}

void AddPlatform(Corpus& corpus) {
  corpus.Add("platform_json", "job", 0,
             R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256,)"
             R"("EstimateMs":900,"DataRack":"r1-3","Gang":true},{"Count":2,)"
             R"("DependsOn":[0]}],"RepeatCount":2,"StartAtMs":9})");
  corpus.Add("platform_json", "configuration", 1,
             R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":)"
             R"("/a/","TimeoutMs":3000,"Service":"s","MaxAttempts":2,)"
             R"("Stretch":1.5}],"Services":[{"Name":"s"}],"Tenants":[{"Name":)"
             R"("t","ApiKeys":["k1"],"Guaranteed":{"Gpu":72}}]})");
  corpus.Add("platform_json", "report", 2,
             R"({"Service":"s","Address":"10.1.0.9:80","Zone":"z","State":)"
             R"("ready","Capacity":{"Cpu":1,"MemMb":2,"Gpu":8},"Labels":)"
             R"(["a","r1"],"ClockMs":4,"Seq":4,"born":17})");
  corpus.Add("platform_json", "lists", 3,
             R"({"born":5,"ClockMs":9,"Running":[["5c.0.1.17",2,"00ab",41]],)"
             R"("Finished":[[58,"5c.0.1.9",1,"done",""]]})");
  corpus.Add("platform_json", "foreign_run", 3,
             R"({"born":5,"ClockMs":9000,"Running":[["5c.0.1.17",2,"00ab",41],)"
             R"(["5c.0.4000000000.0",1]],"Finished":[]})");
  corpus.Add("platform_json", "foreign_end", 3,
             R"({"born":5,"ClockMs":9000,"Running":[["5c.0.1.17",2,"",41]],)"
             R"("Finished":[[58,"5c.0.1.9",2,"done",""],)"
             R"([1000000,"ff.0.0.0",1,"done",""]]})");
  corpus.Add("platform_json", "refusal", 4, R"({"ClockMs":1,"Reason":"room"})");
  corpus.Add("platform_json", "settings", 5,
             R"({"NodeName":"n","Ip":"10.1.0.2","Zone":"z","ListenAddrs":{},)"
             R"("InternalPorts":[7000],"Seeds":["10.1.0.2:1"],"Bounds":)"
             R"({"GraceS":6,"HoldMaxMs":6000}})");
}

}  // namespace

}  // namespace wigeonstair::fuzz

int main(int count, char** values) {
  using namespace wigeonstair::fuzz;
  if (count != 2) {
    std::cerr << "usage: fuzz_write_corpus FOLDER\n";
    return 2;
  }
  Corpus corpus(values[1]);
  AddJobs(corpus);
  AddPlatform(corpus);
  AddNet(corpus);
  AddRequests(corpus);
  AddLeases(corpus);
  AddMembership(corpus);
  AddConsensus(corpus);
  AddLog(corpus);
  AddRecords(corpus);
  AddCluster(corpus);
  AddDocuments(corpus);
  AddJson(corpus);
  return 0;
}
