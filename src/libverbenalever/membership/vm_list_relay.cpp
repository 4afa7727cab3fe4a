#include "membership/vm_list_relay.h"

#include "membership/peer_mesh.h"
#include "membership/vm_list_request.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <xxhash.h>

namespace verbenalever {

vm_list_relay::vm_list_relay(peer_mesh& mesh, counters& metrics, const event_log& log,
                             milliseconds stale_after, handler on_changed)
    : mesh(mesh), metrics(metrics), log(log), stale_after(stale_after),
      on_changed(std::move(on_changed))
{
    this->mesh.on_heartbeat([this](const std::string& from, const heartbeat& message) {
        this->on_heartbeat(from, message);
    });
    this->mesh.on<vm_list_request>([this](const std::string& from, const vm_list_request&) {
        if (this->digest != 0)
            this->mesh.reply(from, this->current);
    });
    this->mesh.on<vm_list_copy>([this](const std::string& from, const vm_list_copy& copy) {
        this->apply_copy(from, copy);
    });
}

void vm_list_relay::apply_platform_list(std::string_view text, std::int64_t read_at_us)
{
    this->last_platform_answer = monotonic_clock::now();
    this->set_current_list(text, read_at_us);
}

void vm_list_relay::confirm_unchanged(std::int64_t read_at_us)
{
    this->last_platform_answer = monotonic_clock::now();
    this->current.read_at_us = std::max(this->current.read_at_us, read_at_us);
}

void vm_list_relay::fill_heartbeat(heartbeat& message) const
{
    message.vm_list_read_at_us = this->current.read_at_us;
    message.vm_list_digest = this->digest;
}

bool vm_list_relay::platform_silent() const
{
    return this->last_platform_answer == monotonic_time() ||
           monotonic_clock::now() - this->last_platform_answer > this->stale_after;
}

void vm_list_relay::on_heartbeat(const std::string& from, const heartbeat& message)
{
    if (message.vm_list_read_at_us <= this->current.read_at_us || !this->platform_silent())
        return;
    if (message.vm_list_digest == this->digest)
        this->current.read_at_us = message.vm_list_read_at_us;
    else
        this->mesh.send(from, vm_list_request{.reason = "platform silent"});
}

void vm_list_relay::apply_copy(const std::string& from, const vm_list_copy& copy)
{
    if (copy.read_at_us <= this->current.read_at_us || !this->platform_silent())
        return;
    this->log.write("membership", "vm_list_from_peer", {{"peer", from}});
    this->metrics.add("vm_lists_from_peers");
    this->set_current_list(copy.text, copy.read_at_us);
}

void vm_list_relay::set_current_list(std::string_view text, std::int64_t read_at_us)
{
    const auto digest = XXH3_64bits(text.data(), text.size());
    this->current.read_at_us = read_at_us;
    if (digest == this->digest)
        return;
    this->digest = digest;
    this->current.text = text;
    // A copy, since the callback may set another list.
    const auto applied = this->current.text;
    this->on_changed(applied);
}

} // namespace verbenalever
