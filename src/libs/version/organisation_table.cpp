#include "version/organisation_table.h"

#include "base/hash.h"
#include "base/time.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <random>
#include <tuple>
#include <utility>

namespace endiverail {
namespace {

/// Keeps outsiders from choosing keys that collide.
const std::string &keySalt() {
  static const std::string Salt = [] {
    std::random_device Random;
    return std::to_string(Random()) + std::to_string(Random());
  }();
  return Salt;
}

bool isValidAmount(double Amount) {
  return std::isfinite(Amount) && Amount >= 0;
}

result<void> check(const organisation &Organisation) {
  if (Organisation.Name.empty())
    return fail(error_kind::BadRecord, "an organisation has no name");
  if (!isValidAmount(Organisation.Quota.RatePerSecond) ||
      !isValidAmount(Organisation.Quota.Burst))
    return fail(error_kind::BadRecord,
                "the quota is negative or not finite: " + Organisation.Name);
  return {};
}

} // namespace

access_key_hash hashAccessKey(std::string_view AccessKey) {
  return stableHash(keySalt(), AccessKey);
}

result<std::shared_ptr<const organisation_table>>
organisation_table::build(std::vector<organisation_definition> Definitions) {
  std::ranges::sort(Definitions, {}, [](const organisation_definition &Each) {
    return std::string_view(Each.Organisation.Name);
  });
  auto Table = std::make_shared<organisation_table>();
  for (organisation_definition &Definition : Definitions) {
    BOOST_LEAF_CHECK(check(Definition.Organisation));
    if (!Table->Organisations.empty() &&
        Table->Organisations.back().Name == Definition.Organisation.Name)
      return fail(error_kind::BadRecord, "two organisations of one name: " +
                                             Definition.Organisation.Name);
    BOOST_LEAF_CHECK(
        Table->addKeys(static_cast<std::uint32_t>(Table->Organisations.size()),
                       Definition.AccessKeys));
    Table->Organisations.push_back(std::move(Definition.Organisation));
  }
  std::ranges::sort(Table->Keys, {}, [&](const key_entry &Entry) {
    return std::tuple(Entry.Hash, Table->textOf(Entry), Entry.Organisation);
  });
  BOOST_LEAF_CHECK(Table->checkKeys());
  Table->Organisations.shrink_to_fit();
  Table->KeyText.shrink_to_fit();
  Table->Keys.shrink_to_fit();
  return std::shared_ptr<const organisation_table>(std::move(Table));
}

result<void>
organisation_table::addKeys(std::uint32_t Organisation,
                            std::span<const std::string> AccessKeys) {
  for (const std::string &Key : AccessKeys) {
    if (Key.empty())
      return fail(error_kind::BadRecord, "an access key is empty");
    if (Key.size() > std::numeric_limits<std::uint32_t>::max() - KeyText.size())
      return fail(error_kind::BadRecord, "the access keys are too long");
    Keys.push_back({hashAccessKey(Key),
                    static_cast<std::uint32_t>(KeyText.size()),
                    static_cast<std::uint32_t>(Key.size()), Organisation});
    KeyText += Key;
  }
  return {};
}

result<void> organisation_table::checkKeys() const {
  auto IsShared = [this](const key_entry &Entry, const key_entry &Next) {
    return Entry.Organisation != Next.Organisation && Entry.Hash == Next.Hash &&
           textOf(Entry) == textOf(Next);
  };
  auto Shared = std::ranges::adjacent_find(Keys, IsShared);
  if (Shared == Keys.end())
    return {};
  return fail(error_kind::BadRecord,
              "two organisations share an access key: " +
                  Organisations[Shared->Organisation].Name + " and " +
                  Organisations[std::next(Shared)->Organisation].Name);
}

std::span<const organisation_table::key_entry>
organisation_table::entriesOf(access_key_hash Hash) const {
  auto Range = std::ranges::equal_range(Keys, Hash, {}, &key_entry::Hash);
  return {Range.begin(), Range.end()};
}

const organisation *
organisation_table::findByKey(std::string_view AccessKey) const {
  for (const key_entry &Entry : entriesOf(hashAccessKey(AccessKey)))
    if (equalConstantTime(textOf(Entry), AccessKey))
      return &Organisations[Entry.Organisation];
  return nullptr;
}

bool organisation_table::holdsKey(access_key_hash Hash) const {
  return !entriesOf(Hash).empty();
}

const organisation *organisation_table::find(std::string_view Name) const {
  auto Found = std::ranges::lower_bound(
      Organisations, Name, {},
      [](const organisation &Each) { return std::string_view(Each.Name); });
  return Found == Organisations.end() || Found->Name != Name ? nullptr
                                                             : &*Found;
}

} // namespace endiverail
