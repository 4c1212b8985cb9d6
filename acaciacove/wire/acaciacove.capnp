@0xd3c1a7f05b9e4c21;
# Messages between the system's own processes. Every struct mirrors the attrs
# class of the same name in acaciacove.messages; acaciacove.wire.codec maps one to
# the other by name (camelCase here, snake_case there). Version ids and reasons
# travel as text, an absent number as NaN, an absent text as "".

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Load {
  inFlight @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  cold @3 :Bool;
  queueDelayS @4 :Float32;
  serviceS @5 :Float32;
}

struct Hello {
  instance @0 :Text;
  incarnation @1 :UInt64;
  role @2 :Text;
  availabilityZone @3 :Text;
  revision @4 :Int64;
  wireVersion @5 :UInt16;
}

struct Run {
  requestId @0 :Text;
  attempt @1 :UInt16;
  revision @2 :Int64;
  organisation @3 :Text;
  api @4 :Text;
  version @5 :Text;
  session @6 :Text;
  idempotencyKey @7 :Text;
  deadlineS @8 :Float64;
  stream @9 :Bool;
  nonIdempotent @10 :Bool;
  batch @11 :Bool;
  estimatedTokens @12 :UInt32;
  requestClass @13 :Text;
  method @14 :Text;
  path @15 :Text;
  headers @16 :List(Header);
  body @17 :Data;
  receivedTokens @18 :UInt32;
  receivedText @19 :Text;
  billed @20 :List(Text);
}

struct Head {
  requestId @0 :Text;
  attempt @1 :UInt16;
  status @2 :UInt16;
  headers @3 :List(Header);
}

struct Chunk {
  requestId @0 :Text;
  attempt @1 :UInt16;
  sequence @2 :UInt32;
  data @3 :Data;
  tokens @4 :UInt16;
}

struct End {
  requestId @0 :Text;
  attempt @1 :UInt16;
  chunks @2 :UInt32;
  promptTokens @3 :UInt32;
  completionTokens @4 :UInt32;
  cachedTokens @5 :UInt32;
  serviceS @6 :Float64;
  finishReason @7 :Text;
  revision @8 :Int64;
  load @9 :Load;
}

struct Refused {
  requestId @0 :Text;
  attempt @1 :UInt16;
  reason @2 :Text;
  notRun @3 :Bool;
  detail @4 :Text;
  retryAfterS @5 :Float64;
  revision @6 :Int64;
  load @7 :Load;
}

struct Cancel {
  requestId @0 :Text;
  attempt @1 :UInt16;
}

struct Digest {
  instance @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :Int64;
  status @3 :Text;
  replyWanted @4 :Bool;
  peers @5 :List(Text);
}

struct Pull {
  fromOffset @0 :Int64;
  limit @1 :UInt32;
}

struct Record {
  offset @0 :Int64;
  payload @1 :Data;
}

struct Records {
  revision @0 :Int64;
  snapshot @1 :Data;
  snapshotRevision @2 :Int64;
  records @3 :List(Record);
}

struct ClaimQuery {
  queryId @0 :Text;
  key @1 :Text;
}

struct ClaimAnswer {
  queryId @0 :Text;
  key @1 :Text;
  status @2 :Text;
  httpStatus @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
  incarnation @6 :UInt64;
}

struct Billed {
  requestIds @0 :List(Text);
}

struct EvidenceCell {
  origin @0 :Text;
  name @1 :List(Text);
  count @2 :Float64;
  total @3 :Float64;
  squares @4 :Float64;
}

struct Evidence {
  cells @0 :List(EvidenceCell);
  window @1 :UInt32;
}

struct VersionCell {
  service @0 :Text;
  revision @1 :Int64;
  isTarget @2 :Bool;
  name @3 :Text;
  answers @4 :UInt32;
  failures @5 :UInt32;
  timed @6 :UInt32;
  logTimeSum @7 :Float64;
  judged @8 :UInt32;
  late @9 :UInt32;
}

struct RolloutView {
  service @0 :Text;
  revision @1 :Int64;
  ageS @2 :Float64;
  oldInFlight @3 :UInt32;
  judgedBad @4 :Bool;
}

struct GatewayReport {
  instance @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  revision @3 :Int64;
  confirmedAgeS @4 :Float64;
  nonce @5 :UInt64;
  echo @6 :UInt64;
  replyWanted @7 :Bool;
  rollouts @8 :List(RolloutView);
  cells @9 :List(VersionCell);
  availabilityZone @10 :Text;
  outcomesOffset @11 :Int64 = -1;
  era @12 :Int64;
  outcomesEra @13 :Int64;
}

struct ToldRecord {
  key @0 :Text;
  value @1 :Data;
  offset @2 :Int64;
  removed @3 :Bool;
}

struct LogAsk {
  stream @0 :Text;
  offset @1 :Int64;
  waitS @2 :Float64;
  era @3 :Int64;
}

struct LogTold {
  known @0 :Bool;
  nextOffset @1 :Int64;
  heldS @2 :Float64;
  ageS @3 :Float64;
  records @4 :List(ToldRecord);
  presentS @5 :Float64 = nan;
  era @6 :Int64;
}

struct WorkSent {
  endpoint @0 :UInt32;
  workS @1 :Float32;
  parts @2 :List(UInt32);
}

struct CrashSeen {
  endpoint @0 :UInt32;
  suspects @1 :List(UInt64);
}

struct RequestVerdict {
  fingerprint @0 :UInt64;
  kind @1 :UInt8;
  trials @2 :UInt8;
  endpoint @3 :UInt32;
  leftS @4 :Float32;
  claim @5 :UInt32;
}

struct RequestNews {
  crashes @0 :List(CrashSeen);
  verdicts @1 :List(RequestVerdict);
}

struct LimitSeen {
  endpoint @0 :UInt32;
  ageS @1 :Float32;
  perS @2 :Float64;
}

struct LimitNews {
  limits @0 :List(LimitSeen);
}

struct Frame {
  union {
    hello @0 :Hello;
    run @1 :Run;
    head @2 :Head;
    chunk @3 :Chunk;
    end @4 :End;
    refused @5 :Refused;
    cancel @6 :Cancel;
    load @7 :Load;
    digest @8 :Digest;
    pull @9 :Pull;
    records @10 :Records;
    claimQuery @11 :ClaimQuery;
    claimAnswer @12 :ClaimAnswer;
    billed @13 :Billed;
    evidence @14 :Evidence;
    gatewayReport @15 :GatewayReport;
    logAsk @16 :LogAsk;
    logTold @17 :LogTold;
    workSent @18 :WorkSent;
    requestNews @19 :RequestNews;
    limitNews @20 :LimitNews;
  }
}
