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
    : store(store), log(log), retry_timer(loop, [this] { this->read(); })
{
}

void configuration_store::start()
{
    this->read();
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
    return this->narrowing;
}

void configuration_store::on_change(change_handler handler)
{
    this->handlers.push_back(std::move(handler));
}

void configuration_store::offer(std::string_view value, std::int64_t revision)
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
    auto read = operator_configuration::parse(offered->text, "configuration");
    if (!read.ok()) {
        const std::string message(read.status().message());
        this->log.write("configuration", "configuration_unreadable",
                        {{"revision", offered->revision}, {"message", message}});
        return;
    }
    this->document = *std::move(offered);
    this->parsed = *std::move(read);
    this->parsed.revision = this->document.revision;
    this->narrowing.settle(this->document.settled);
    this->log.write("configuration", "configuration_in_force",
                    {{"revision", this->document.revision}});
    this->put_in_force();
}

bool configuration_store::restrict(restriction added)
{
    const auto& settled = this->document.settled;
    if (std::ranges::find(settled, added.id) != settled.end())
        return false;
    const auto id = added.id;
    const auto kind = added.kind;
    const auto subject = added.subject;
    if (!this->narrowing.add(std::move(added)))
        return false;
    this->log.write("configuration", "restriction_in_force",
                    {{"restriction", id}, {"kind", kind}, {"subject", subject}});
    this->put_in_force();
    return true;
}

void configuration_store::put_in_force()
{
    this->in_force = this->narrowing.narrow(this->parsed);
    for (const auto& handler : this->handlers)
        handler(this->in_force);
}

void configuration_store::read()
{
    this->store.list(kept_key, [this](absl::StatusOr<kv_listing> listing) {
        if (!listing.ok())
            return this->retry_later();
        for (const auto& entry : listing->entries)
            this->offer(entry.value, entry.revision);
        this->follow(listing->revision);
    });
}

void configuration_store::follow(std::int64_t since)
{
    this->store.watch(kept_key, since, watch_wait, [this](absl::StatusOr<kv_listing> changes) {
        if (!changes.ok())
            return this->retry_later();
        for (const auto& entry : changes->entries)
            this->offer(entry.value, entry.revision);
        this->follow(changes->revision);
    });
}

void configuration_store::retry_later()
{
    this->retry_timer.start_once(retry_delay);
}

} // namespace verbenalever
