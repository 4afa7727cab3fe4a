#include "configuration/configuration_store.h"

#include "platform/kv_client.h"
#include "timeline/event_log.h"

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

const std::string& configuration_store::current_text() const
{
    return this->text;
}

void configuration_store::on_change(change_handler handler)
{
    this->handlers.push_back(std::move(handler));
}

void configuration_store::apply(std::string text, std::int64_t base, apply_callback done)
{
    if (const auto checked = operator_configuration::parse(text, "configuration"); !checked.ok())
        return done(checked.status());
    this->store.put(kept_key, text, base,
                    [this, text, done = std::move(done)](absl::StatusOr<std::int64_t> revision) {
                        if (revision.ok())
                            this->offer(text, *revision);
                        done(revision);
                    });
}

void configuration_store::offer(std::string_view text, std::int64_t revision)
{
    if (revision <= this->in_force.revision)
        return;
    auto parsed = operator_configuration::parse(text, "configuration");
    if (!parsed.ok()) {
        const std::string message(parsed.status().message());
        this->log.write("configuration", "configuration_unreadable",
                        {{"revision", revision}, {"message", message}});
        return;
    }
    this->in_force = *std::move(parsed);
    this->in_force.revision = revision;
    this->text = text;
    this->log.write("configuration", "configuration_in_force", {{"revision", revision}});
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
