#include "configuration/configuration_store.h"

#include "store/kv_client.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds retry_delay{500};
constexpr milliseconds watch_wait{20000};

} // namespace

configuration_store::configuration_store(event_loop& loop, kv_client& store, const event_log& log)
    : store(store), log(log), retry_timer(loop, [this] { this->load(); })
{
}

void configuration_store::start()
{
    this->load();
}

const operator_configuration& configuration_store::current() const
{
    return this->in_force;
}

const configuration_document& configuration_store::stored() const
{
    return this->document;
}

const restriction_set& configuration_store::restrictions() const
{
    return this->unstored_restrictions;
}

void configuration_store::on_change(change_handler handler)
{
    this->handlers.push_back(std::move(handler));
}

void configuration_store::apply_if_newer(std::string_view value, std::int64_t revision)
{
    if (revision != 0 && revision <= this->document.revision)
        return;
    auto offered = configuration_document::decode(value, revision);
    if (!offered.ok()) {
        this->log.write("configuration", "configuration_unreadable", {{"revision", revision}});
        return;
    }
    if (offered->revision <= this->document.revision)
        return;
    auto configuration = operator_configuration::parse(offered->text, "configuration");
    if (!configuration.ok()) {
        const std::string message(configuration.status().message());
        this->log.write("configuration", "configuration_unreadable",
                        {{"revision", offered->revision}, {"message", message}});
        return;
    }
    this->document = *std::move(offered);
    this->parsed = *std::move(configuration);
    this->parsed.revision = this->document.revision;
    this->unstored_restrictions.remove(this->document.resolved_restrictions);
    this->log.write("configuration", "configuration_in_force",
                    {{"revision", this->document.revision}});
    this->update_in_force();
}

bool configuration_store::add_restriction(restriction added)
{
    const auto& resolved_restrictions = this->document.resolved_restrictions;
    if (std::ranges::find(resolved_restrictions, added.id) != resolved_restrictions.end())
        return false;
    const auto id = added.id;
    const auto kind = added.kind;
    const auto subject = added.subject;
    if (!this->unstored_restrictions.add(std::move(added)))
        return false;
    this->log.write("configuration", "restriction_in_force",
                    {{"restriction", id}, {"kind", kind}, {"subject", subject}});
    this->update_in_force();
    return true;
}

void configuration_store::update_in_force()
{
    this->in_force = this->unstored_restrictions.narrow(this->parsed);
    for (const auto& handler : this->handlers)
        handler(this->in_force);
}

void configuration_store::load()
{
    this->store.list(store_key, [this](absl::StatusOr<kv_listing> listing) {
        if (!listing.ok())
            return this->retry_later();
        for (const auto& entry : listing->entries)
            this->apply_if_newer(entry.value, entry.revision);
        this->watch_changes(listing->revision);
    });
}

void configuration_store::watch_changes(std::int64_t since)
{
    this->store.watch(store_key, since, watch_wait, [this](absl::StatusOr<kv_listing> changes) {
        if (!changes.ok())
            return this->retry_later();
        for (const auto& entry : changes->entries)
            this->apply_if_newer(entry.value, entry.revision);
        this->watch_changes(changes->revision);
    });
}

void configuration_store::retry_later()
{
    this->retry_timer.start_once(retry_delay);
}

} // namespace verbenalever
