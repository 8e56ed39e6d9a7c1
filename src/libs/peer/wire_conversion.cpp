#include "peer/wire_conversion.h"

#include "files/service_file.h"

#include <cmath>
#include <utility>

namespace endiverail {
namespace {

/// More answers than one report of a proxy can tell of.
constexpr std::int32_t MostWorkCount = 10'000;

std::uint32_t countFromWire(std::int32_t Value) {
  return static_cast<std::uint32_t>(std::clamp(Value, 0, MostWorkCount));
}

/// More requests of an organisation than a process counts over its life.
constexpr std::int64_t MostRequests = 1'000'000'000'000'000;
/// Requests a second, more than any fleet gets.
constexpr double MostRate = 1e9;
/// Above any share that a coordinator sends.
constexpr double MostShare = 1'000;

/// \p Value, or the nearest that is allowed; 0 for what is not finite.
double amountFromWire(double Value, double Most) {
  return std::isfinite(Value) ? std::clamp(Value, 0.0, Most) : 0;
}

std::int64_t requestsFromWire(std::int64_t Value, std::int64_t Least) {
  return std::clamp(Value, Least, MostRequests);
}

} // namespace

std::int64_t toWire(std::uint64_t Value) {
  return static_cast<std::int64_t>(Value);
}
std::uint64_t fromWire(std::int64_t Value) {
  return static_cast<std::uint64_t>(Value);
}

wire::Member toWire(const member_update &Update) {
  wire::Member Member;
  Member.id = Update.Proxy.Id;
  Member.dataCentre = Update.Proxy.DataCentre;
  Member.address = Update.Proxy.Address;
  Member.incarnation = toWire(Update.Proxy.Incarnation);
  Member.offered = Update.Proxy.Offered;
  Member.refutation = toWire(Update.Refutation);
  Member.state = static_cast<std::int32_t>(Update.State);
  Member.callerAddress = Update.Proxy.CallerAddress;
  Member.capacity = static_cast<std::int32_t>(Update.Proxy.Capacity);
  return Member;
}

member_update fromWire(const wire::Member &Member) {
  member_update Update;
  Update.Proxy = {Member.id,
                  Member.dataCentre,
                  Member.address,
                  fromWire(Member.incarnation),
                  Member.offered,
                  Member.callerAddress,
                  static_cast<std::uint32_t>(std::max(0, Member.capacity))};
  Update.Refutation = fromWire(Member.refutation);
  Update.State = static_cast<member_state>(
      std::clamp(Member.state, 0, static_cast<int>(member_state::Left)));
  return Update;
}

wire::ServiceVersion toWire(const service_version &Version) {
  wire::ServiceVersion Result;
  Result.serviceName = Version.Service;
  Result.version = toWire(Version.Version);
  return Result;
}

service_version fromWire(const wire::ServiceVersion &Version) {
  return {Version.serviceName, fromWire(Version.version)};
}

wire::Death toWire(const server_death &Death) {
  wire::Death Result;
  Result.serviceName = Death.Service;
  Result.fingerprint = toWire(Death.Fingerprint);
  Result.server = Death.Server;
  return Result;
}

server_death fromWire(const wire::Death &Death) {
  return {Death.serviceName, fromWire(Death.fingerprint), Death.server};
}

wire::Leaving toWire(const server_leaving &Leaving) {
  wire::Leaving Result;
  Result.serviceName = Leaving.Service;
  Result.server = Leaving.Server;
  return Result;
}

server_leaving fromWire(const wire::Leaving &Leaving) {
  return {Leaving.serviceName, Leaving.server};
}

wire::Acceptance toWire(const acceptance &Record) {
  wire::Acceptance Result;
  Result.content = Record.Content;
  Result.parent = Record.Parent;
  Result.version = toWire(Record.Version);
  Result.signer = Record.Signer;
  Result.signature = Record.Signature;
  Result.firstOffset = toWire(Record.FirstOffset);
  return Result;
}

result<acceptance> fromWire(const wire::Acceptance &Wire) {
  BOOST_LEAF_AUTO(File, readServiceFile("content", Wire.content));
  acceptance Record;
  Record.Definition = std::move(File.Definition);
  Record.Content = std::move(File.Content);
  Record.ContentHash = std::move(File.ContentHash);
  Record.Parent = Wire.parent;
  Record.Version = fromWire(Wire.version);
  Record.Signer = Wire.signer;
  Record.Signature = Wire.signature;
  Record.FirstOffset = fromWire(Wire.firstOffset);
  return Record;
}

wire::EntryHost toWire(const entry_host &Host) {
  wire::EntryHost Result;
  Result.id = Host.Id;
  Result.dataCentre = Host.DataCentre;
  Result.address = Host.Address;
  return Result;
}

entry_host fromWire(const wire::EntryHost &Host) {
  return {Host.id, Host.dataCentre, Host.address};
}

wire::Server toWire(const backend_server &Server) {
  wire::Server Result;
  Result.address = Server.Address;
  Result.pool = Server.Pool;
  Result.dataCentre = Server.DataCentre;
  Result.leaving = Server.State == server_state::Leaving;
  return Result;
}

backend_server fromWire(const wire::Server &Server) {
  return {Server.address, Server.pool, Server.dataCentre,
          Server.leaving ? server_state::Leaving : server_state::Live};
}

wire::HostsChange toWire(const host_list_change &Change) {
  wire::HostsChange Result;
  Result.fromRevision = toWire(Change.From);
  Result.toRevision = toWire(Change.To);
  Result.entryHosts = converted<wire::EntryHost>(Change.EntryHosts, ToWire);
  Result.servers = converted<wire::Server>(Change.Servers, ToWire);
  Result.goneEntryHosts = Change.RemovedEntryHosts;
  Result.goneServers = Change.RemovedServers;
  return Result;
}

host_list_change fromWire(const wire::HostsChange &Change) {
  return {fromWire(Change.fromRevision),
          fromWire(Change.toRevision),
          converted<entry_host>(Change.entryHosts, FromWire),
          converted<backend_server>(Change.servers, FromWire),
          Change.goneEntryHosts,
          Change.goneServers};
}

wire::Incarnation toWire(const proxy_incarnation &Incarnation) {
  wire::Incarnation Result;
  Result.proxyId = Incarnation.ProxyId;
  Result.incarnation = toWire(Incarnation.Incarnation);
  return Result;
}

proxy_incarnation fromWire(const wire::Incarnation &Incarnation) {
  return {Incarnation.proxyId, fromWire(Incarnation.incarnation)};
}

wire::KeyHeir toWire(const key_successor &Heir) {
  wire::KeyHeir Result;
  Result.issuer = toWire(Heir.Issuer);
  Result.heir = toWire(Heir.Successor);
  Result.generation = toWire(Heir.Generation);
  return Result;
}

key_successor fromWire(const wire::KeyHeir &Heir) {
  return {fromWire(Heir.issuer), fromWire(Heir.heir),
          fromWire(Heir.generation)};
}

wire::PathFault toWire(const path_fault &Fault) {
  wire::PathFault Result;
  Result.proxyId = Fault.ProxyId;
  Result.server = Fault.Server;
  return Result;
}

path_fault fromWire(const wire::PathFault &Fault) {
  return {Fault.proxyId, Fault.server};
}

wire::ServerWork toWire(const server_work &Work) {
  wire::ServerWork Result;
  Result.server = Work.Server;
  Result.inUse = static_cast<std::int32_t>(Work.InUse);
  Result.good = static_cast<std::int32_t>(Work.Good);
  Result.accepted = static_cast<std::int32_t>(Work.Accepted);
  Result.failed = static_cast<std::int32_t>(Work.Failed);
  Result.slow = static_cast<std::int32_t>(Work.Slow);
  Result.erred = static_cast<std::int32_t>(Work.ErrorAfterWork);
  if (Work.ReachedAgo)
    Result.__set_reachedMillisecondsAgo(
        static_cast<std::int32_t>(Work.ReachedAgo->count()));
  return Result;
}

server_work fromWire(const wire::ServerWork &Work) {
  return {Work.server,
          countFromWire(Work.inUse),
          countFromWire(Work.good),
          countFromWire(Work.accepted),
          countFromWire(Work.failed),
          countFromWire(Work.slow),
          countFromWire(Work.erred),
          Work.__isset.reachedMillisecondsAgo
              ? std::optional(
                    milliseconds(std::max(0, Work.reachedMillisecondsAgo)))
              : std::nullopt};
}

wire::WorkReport toWire(const work_report &Report) {
  wire::WorkReport Result;
  Result.serviceName = Report.Service;
  Result.servers = converted<wire::ServerWork>(Report.Servers, ToWire);
  return Result;
}

work_report fromWire(const wire::WorkReport &Report) {
  return {Report.serviceName, converted<server_work>(Report.servers, FromWire)};
}

wire::ServerStatement toWire(const server_statement &Statement) {
  const backend_server &Server = Statement.Entry.Server;
  wire::ServerStatement Result;
  Result.id = Statement.Id;
  Result.address = Server.Address;
  Result.pool = Server.Pool;
  Result.dataCentre = Server.DataCentre;
  Result.leaving = Server.State == server_state::Leaving;
  Result.started = Server.Started;
  Result.sequence = toWire(Statement.Entry.Sequence);
  Result.slots = static_cast<std::int32_t>(Server.Slots);
  Result.coldMilliseconds =
      static_cast<std::int32_t>(Statement.RemainingColdTime.count());
  Result.removed = Statement.Removed;
  return Result;
}

server_statement fromWire(const wire::ServerStatement &Statement) {
  server_statement Result;
  Result.Id = Statement.id;
  backend_server &Server = Result.Entry.Server;
  Server.Address = Statement.address;
  Server.Pool = Statement.pool;
  Server.DataCentre = Statement.dataCentre;
  Server.State = Statement.leaving ? server_state::Leaving : server_state::Live;
  Server.Instance = Statement.id;
  Server.Started = Statement.started;
  Server.Slots = countFromWire(Statement.slots);
  Result.Entry.Sequence = fromWire(Statement.sequence);
  Result.RemainingColdTime =
      milliseconds(std::max(0, Statement.coldMilliseconds));
  Result.Removed = Statement.removed;
  return Result;
}

wire::QuotaUse toWire(const quota_use &Use) {
  wire::QuotaUse Wire;
  Wire.organisation = Use.Organisation;
  Wire.requested = Use.Requested;
  Wire.admitted = Use.Admitted;
  Wire.recentlyAdmitted = Use.RecentlyAdmitted;
  Wire.knownRequestRate = Use.KnownRequestRate;
  Wire.knownRequestRateAgeMilliseconds =
      static_cast<std::int32_t>(Use.KnownRequestRateAge.count());
  Wire.keepsReporting = Use.KeepsReporting;
  return Wire;
}

quota_use fromWire(const wire::QuotaUse &Use) {
  return {Use.organisation,
          requestsFromWire(Use.requested, 0),
          requestsFromWire(Use.admitted, -MostRequests),
          requestsFromWire(Use.recentlyAdmitted, 0),
          amountFromWire(Use.knownRequestRate, MostRate),
          milliseconds(std::max(0, Use.knownRequestRateAgeMilliseconds)),
          Use.keepsReporting};
}

wire::QuotaReport toWire(const quota_report &Report) {
  wire::QuotaReport Wire;
  Wire.incarnation = toWire(Report.Incarnation);
  Wire.uptimeMilliseconds = Report.Uptime.count();
  Wire.uses = converted<wire::QuotaUse>(Report.Uses, ToWire);
  return Wire;
}

quota_report fromWire(const wire::QuotaReport &Report) {
  return {fromWire(Report.incarnation),
          milliseconds(std::max<std::int64_t>(0, Report.uptimeMilliseconds)),
          converted<quota_use>(Report.uses, FromWire)};
}

wire::QuotaShare toWire(const quota_share &Share) {
  wire::QuotaShare Wire;
  Wire.organisation = Share.Organisation;
  Wire.share = Share.Share;
  Wire.requestRate = Share.RequestRate;
  if (Share.OwnPart)
    Wire.__set_ownPart(*Share.OwnPart);
  return Wire;
}

quota_share fromWire(const wire::QuotaShare &Share) {
  quota_share Result{Share.organisation, amountFromWire(Share.share, MostShare),
                     amountFromWire(Share.requestRate, MostRate)};
  if (Share.__isset.ownPart)
    Result.OwnPart = amountFromWire(Share.ownPart, 1);
  return Result;
}

wire::Header toWire(const header_field &Header) {
  wire::Header Result;
  Result.name = Header.Name;
  Result.value = Header.Value;
  return Result;
}

header_field fromWire(const wire::Header &Header) {
  return {Header.name, Header.value};
}

wire::RememberedKey toWire(const remembered_key &Key) {
  wire::RememberedKey Result;
  Result.name = Key.Name;
  Result.issuer = toWire(Key.Issuer);
  Result.status = Key.Response.Head.Status;
  Result.outcome = static_cast<std::int32_t>(Key.Response.Head.Outcome);
  Result.headers = converted<wire::Header>(Key.Response.Head.Headers, ToWire);
  Result.body = Key.Response.Body;
  return Result;
}

remembered_key fromWire(const wire::RememberedKey &Key) {
  remembered_key Result;
  Result.Name = Key.name;
  Result.Issuer = fromWire(Key.issuer);
  Result.Response.Head.Status = Key.status;
  // Whatever is not known to have been done may have run.
  Result.Response.Head.Outcome =
      Key.outcome == static_cast<std::int32_t>(outcome::Done)
          ? outcome::Done
          : outcome::Unknown;
  Result.Response.Head.Headers = converted<header_field>(Key.headers, FromWire);
  Result.Response.Body = Key.body;
  return Result;
}

} // namespace endiverail
