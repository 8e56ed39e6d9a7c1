// What proxies say to each other. Unknown fields are skipped, so a field may
// be added while daemons of two versions run side by side.
namespace cpp endiverail.wire

struct Member {
  1: string id
  2: string dataCentre
  3: string address
  4: i64 incarnation
  5: bool offered
  6: i64 refutation
  7: i32 state
  8: string callerAddress
  9: i32 capacity
}

struct ServiceVersion {
  1: string serviceName
  2: i64 version
}

struct Death {
  1: string serviceName
  2: i64 fingerprint
  3: string server
}

struct Leaving {
  1: string serviceName
  2: string server
}

struct Incarnation {
  1: string proxyId
  2: i64 incarnation
}

struct KeyHeir {
  1: Incarnation issuer
  2: Incarnation heir
  3: i64 generation
}

struct PathFault {
  1: string proxyId
  2: string server
}

struct ServerWork {
  1: string server
  2: i32 inUse
  3: i32 good
  4: i32 failed
  5: i32 slow
  6: i32 erred
  7: i32 accepted
  8: optional i32 reachedMillisecondsAgo
}

struct WorkReport {
  1: string serviceName
  2: list<ServerWork> servers
}

struct ServerStatement {
  1: string id
  2: string address
  3: string pool
  4: string dataCentre
  5: bool leaving
  6: i64 started
  7: i64 sequence
  8: i32 slots
  9: i32 coldMilliseconds
  10: bool removed
}

struct QuotaUse {
  1: string organisation
  2: i64 requested
  3: i64 admitted
  4: i64 recentlyAdmitted
  5: double knownRequestRate
  6: i32 knownRequestRateAgeMilliseconds
  7: bool keepsReporting
}

struct QuotaReport {
  1: i64 incarnation
  2: i64 uptimeMilliseconds
  3: list<QuotaUse> uses
}

struct QuotaShare {
  1: string organisation
  2: double share
  3: double requestRate
  4: optional double ownPart
}

struct Datagram {
  1: i32 kind
  2: i64 sequence
  3: string senderId
  4: string senderAddress
  5: string targetId
  6: string targetAddress
  7: list<Member> updates
  8: i64 configurationDigest
  9: i64 hostListRevision
  10: list<ServiceVersion> changes
  11: list<Death> deaths
  12: list<Leaving> leaving
  13: i64 wallMilliseconds
  14: i32 counter
  15: list<KeyHeir> heirs
  16: list<PathFault> pathFaults
  17: list<WorkReport> work
  18: list<ServerStatement> statements
  19: bool readsStore
  20: i64 serversDigest
  21: optional i32 serversAgeMilliseconds
  22: list<i64> serversQuestion
  23: optional i64 sentMilliseconds
  24: optional i64 answerToMilliseconds
  25: optional QuotaReport quotaReport
  26: list<QuotaShare> quotaShares
  30: optional i64 storeHistory
}

struct FleetCopy {
  1: i64 version
  2: binary configuration
  3: list<ServerStatement> servers
  4: optional i64 storeHistory
}

struct PullRequest {
  1: list<ServiceVersion> have
  2: bool only
  3: i64 hostListRevision
  4: bool wantMembers
}

struct Acceptance {
  1: string content
  2: string parent
  3: i64 version
  4: string signer
  5: string signature
  6: i64 firstOffset
}

struct EntryHost {
  1: string id
  2: string dataCentre
  3: string address
}

struct Server {
  1: string address
  2: string pool
  3: string dataCentre
  4: bool leaving
}

struct HostsChange {
  1: i64 fromRevision
  2: i64 toRevision
  3: list<EntryHost> entryHosts
  4: list<Server> servers
  5: list<string> goneEntryHosts
  6: list<string> goneServers
}

struct PullReply {
  1: list<Acceptance> records
  2: i64 hostListRevision
  3: list<EntryHost> entryHosts
  4: list<Server> servers
  5: list<Member> members
  6: list<Death> deaths
  7: list<KeyHeir> heirs
  8: list<PathFault> pathFaults
  9: optional HostsChange hostsChange
}

struct Header {
  1: string name
  2: string value
}

struct RememberedKey {
  1: string name
  2: Incarnation issuer
  3: i32 status
  4: i32 outcome
  5: list<Header> headers
  6: binary body
}

struct KeyHandOver {
  1: Incarnation giver
  2: Incarnation heir
  3: list<KeyHeir> rights
  4: i32 part
  5: i32 parts
  6: list<RememberedKey> keys
}
