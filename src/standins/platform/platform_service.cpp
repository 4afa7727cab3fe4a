#include "platform_service.h"

#include "http/problem.h"
#include "loop/event_loop.h"
#include "timeline/event_log.h"

#include <charconv>

namespace standins {

using verbenalever::http_request;
using verbenalever::http_responder;
using verbenalever::http_response;
using verbenalever::kv_listing;
using verbenalever::milliseconds;
using verbenalever::monotonic_clock;
using verbenalever::path_parameters;

namespace {

constexpr milliseconds tick_interval{2};
constexpr std::size_t max_value_bytes = 1 << 20;
constexpr int status_not_modified = 304;
constexpr int status_gone = 410;
constexpr int status_precondition_failed = 412;
constexpr int status_unavailable = 503;

std::int64_t to_integer(std::string_view text, std::int64_t default_value)
{
    std::int64_t value = default_value;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::int64_t query_integer(const http_request& request, std::string_view name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? 0 : to_integer(found->second, 0);
}

std::string query_string(const http_request& request, std::string_view name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::optional<std::int64_t> expected_revision(const http_request& request)
{
    if (request.header("If-None-Match") == "*")
        return 0;
    if (const auto match = request.header("If-Match"); !match.empty())
        return to_integer(match, -1);
    return std::nullopt;
}

http_response text_response(int status, std::string body)
{
    return {.status = status, .headers = {}, .body = std::move(body)};
}

http_response listing_response(const kv_listing& listing)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& entry : listing.entries)
        entries.push_back({{"key", entry.key},
                           {"value", entry.value},
                           {"revision", entry.revision},
                           {"deleted", entry.deleted}});
    const nlohmann::json body = {{"revision", listing.revision}, {"entries", entries}};
    return http_response::json(200,
                               body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// Keys may contain slashes, which a parameter of a route does not match. Replaces them by 0x1f.
std::string encode_key(const std::string& path)
{
    constexpr std::string_view prefix = "/kv/";
    if (!path.starts_with(prefix))
        return path;
    auto encoded = path;
    for (auto i = prefix.size(); i < encoded.size(); ++i) {
        if (encoded[i] == '/')
            encoded[i] = '\x1f';
    }
    return encoded;
}

std::string decode_key(std::string key)
{
    for (auto& character : key) {
        if (character == '\x1f')
            character = '/';
    }
    return key;
}

} // namespace

platform_service::platform_service(verbenalever::event_loop& loop,
                                   const verbenalever::event_log& log)
    : loop(loop), log(log), tick_timer(loop, [this] { this->tick(); })
{
    this->add_routes();
    this->tick_timer.start_repeating(tick_interval);
}

void platform_service::dispatch(const http_request& request, http_responder respond)
{
    if (request.path.starts_with("/control/"))
        return this->control_routes.dispatch(request, std::move(respond));
    if (this->faults.down == "hang") {
        this->unanswered.push_back(std::move(respond));
        return;
    }
    if (!this->faults.down.empty())
        return respond(text_response(status_unavailable, "the platform is down"));
    auto routed = request;
    routed.path = encode_key(request.path);
    if (this->faults.delay_ms == 0)
        return this->platform_routes.dispatch(routed, std::move(respond));
    this->delayed_requests.emplace(monotonic_clock::now() + milliseconds(this->faults.delay_ms),
                                   [this, routed, respond = std::move(respond)] {
                                       this->platform_routes.dispatch(routed, respond);
                                   });
}

void platform_service::add_routes()
{
    this->add_key_value_routes();
    this->add_vm_routes();
    this->add_control_routes();
}

void platform_service::add_key_value_routes()
{
    auto& routes = this->platform_routes;
    routes.add("GET", "/kv/{key}",
               [this](const http_request&, const path_parameters& parameters,
                      const http_responder& respond) {
                   this->get(decode_key(parameters.at("key")), respond);
               });
    routes.add("PUT", "/kv/{key}",
               [this](const http_request& request, const path_parameters& parameters,
                      const http_responder& respond) {
                   this->put(request, decode_key(parameters.at("key")), respond);
               });
    routes.add("DELETE", "/kv/{key}",
               [this](const http_request& request, const path_parameters& parameters,
                      const http_responder& respond) {
                   this->remove(request, decode_key(parameters.at("key")), respond);
               });
    routes.add("GET", "/kv",
               [this](const http_request& request, const path_parameters&,
                      const http_responder& respond) { this->list(request, respond); });
    routes.add("GET", "/watch",
               [this](const http_request& request, const path_parameters&, http_responder respond) {
                   this->watch(request, std::move(respond));
               });
    routes.add(
        "POST", "/leases",
        [this](const http_request& request, const path_parameters&, const http_responder& respond) {
            ++this->call_counts["leases"];
            const auto body = nlohmann::json::parse(request.body, nullptr, false);
            const auto ttl = body.is_object() ? body.value("ttl_ms", std::int64_t{0}) : 0;
            const auto lease = this->store.grant_lease(milliseconds(ttl), monotonic_clock::now());
            respond(http_response::json(200, nlohmann::json{{"lease", lease}}.dump()));
        });
    routes.add("PUT", "/leases/{id}",
               [this](const http_request&, const path_parameters& parameters,
                      const http_responder& respond) {
                   ++this->call_counts["leases"];
                   const bool lease_exists = this->store.renew_lease(
                       to_integer(parameters.at("id"), 0), monotonic_clock::now());
                   respond(text_response(lease_exists ? 200 : 404, ""));
               });
}

void platform_service::add_vm_routes()
{
    this->platform_routes.add(
        "GET", "/vms",
        [this](const http_request& request, const path_parameters&, const http_responder& respond) {
            ++this->call_counts["vms"];
            nlohmann::json list = nlohmann::json::array();
            for (const auto& [name, vm] : this->vms)
                list.push_back(vm);
            auto response = http_response::json(200, nlohmann::json{{"vms", list}}.dump());
            const auto tag = std::to_string(std::hash<std::string>()(response.body));
            if (request.header("If-None-Match") == tag)
                return respond({.status = status_not_modified, .headers = {}, .body = ""});
            response.headers.push_back({"ETag", tag});
            respond(std::move(response));
        });
}

void platform_service::add_control_routes()
{
    auto& routes = this->control_routes;
    routes.add("PUT", "/control/vms/{name}",
               [this](const http_request& request, const path_parameters& parameters,
                      const http_responder& respond) {
                   auto vm = nlohmann::json::parse(request.body, nullptr, false);
                   if (!vm.is_object())
                       return respond(text_response(400, "a JSON object is needed"));
                   vm["name"] = parameters.at("name");
                   this->change_vm(parameters.at("name"), std::move(vm));
                   respond(text_response(200, ""));
               });
    routes.add("DELETE", "/control/vms/{name}",
               [this](const http_request&, const path_parameters& parameters,
                      const http_responder& respond) {
                   this->change_vm(parameters.at("name"), nullptr);
                   respond(text_response(200, ""));
               });
    routes.add("PUT", "/control/faults",
               [this](const http_request& request, const path_parameters&,
                      const http_responder& respond) { this->set_faults(request, respond); });
    routes.add("GET", "/control/calls",
               [this](const http_request&, const path_parameters&, const http_responder& respond) {
                   respond(http_response::json(200, nlohmann::json(this->call_counts).dump()));
               });
}

const key_value_store& platform_service::visible_store() const
{
    return this->faults.stale_reads ? this->stale_snapshot : this->store;
}

void platform_service::get(const std::string& key, const responder& respond)
{
    ++this->call_counts["reads"];
    const auto* entry = this->visible_store().find(key);
    if (entry == nullptr)
        return respond(text_response(404, ""));
    auto response = text_response(200, entry->value);
    response.headers.push_back({"ETag", std::to_string(entry->revision)});
    respond(std::move(response));
}

void platform_service::put(const request_type& request, const std::string& key,
                           const responder& respond)
{
    ++this->call_counts["writes"];
    if (request.body.size() > max_value_bytes)
        return respond(text_response(413, "a value is at most a megabyte"));
    this->respond_to_write(this->store.put(key, request.body, expected_revision(request),
                                           query_integer(request, "lease")),
                           respond);
}

void platform_service::remove(const request_type& request, const std::string& key,
                              const responder& respond)
{
    ++this->call_counts["writes"];
    this->respond_to_write(this->store.remove(key, expected_revision(request)), respond);
}

void platform_service::respond_to_write(const absl::StatusOr<std::int64_t>& result,
                                        const responder& respond)
{
    if (result.ok())
        this->answer_watches();
    if (this->faults.lose_replies > 0) {
        --this->faults.lose_replies;
        this->log.write("platform", "reply_lost", {{"written", result.ok()}});
        this->unanswered.push_back(respond);
        return;
    }
    if (!result.ok())
        return respond(
            text_response(status_precondition_failed, std::string(result.status().message())));
    auto response = text_response(200, "");
    response.headers.push_back({"ETag", std::to_string(*result)});
    respond(std::move(response));
}

void platform_service::list(const request_type& request, const responder& respond)
{
    ++this->call_counts["reads"];
    respond(listing_response(this->visible_store().list(query_string(request, "prefix"))));
}

void platform_service::watch(const request_type& request, responder respond)
{
    ++this->call_counts["watches"];
    const auto wait = milliseconds(query_integer(request, "wait"));
    this->watches.push_back({.prefix = query_string(request, "prefix"),
                             .since = query_integer(request, "since"),
                             .until = monotonic_clock::now() + wait,
                             .respond = std::move(respond)});
    this->answer_watches();
}

void platform_service::answer_watches()
{
    const auto now = monotonic_clock::now();
    std::erase_if(this->watches, [this, now](const waiting_watch& watch) {
        const auto changes = this->visible_store().changes(watch.prefix, watch.since);
        if (!changes) {
            watch.respond(text_response(status_gone, ""));
            return true;
        }
        if (changes->entries.empty() && now < watch.until)
            return false;
        watch.respond(listing_response(*changes));
        return true;
    });
}

void platform_service::change_vm(const std::string& name, nlohmann::json vm)
{
    const auto state = vm.is_object() ? vm.value("state", "live") : std::string("gone");
    this->log.write("platform", "vm_state", {{"vm", name}, {"state", state}});
    this->pending_vm_changes.push_back(
        {.visible_at = monotonic_clock::now() + milliseconds(this->faults.vm_lag_ms),
         .name = name,
         .vm = std::move(vm)});
    this->tick();
}

void platform_service::set_faults(const request_type& request, const responder& respond)
{
    try {
        const auto new_faults = nlohmann::json::parse(request.body).get<platform_faults>();
        if (new_faults.stale_reads && !this->faults.stale_reads)
            this->stale_snapshot = this->store;
        this->faults = new_faults;
    }
    catch (const nlohmann::json::exception& error) {
        return respond(text_response(400, error.what()));
    }
    this->log.write("platform", "faults_set",
                    {{"down", this->faults.down}, {"delay_ms", this->faults.delay_ms}});
    for (const auto& unanswered_responder : this->unanswered)
        unanswered_responder(text_response(status_unavailable, ""));
    this->unanswered.clear();
    respond(text_response(200, ""));
}

void platform_service::tick()
{
    const auto now = monotonic_clock::now();
    while (!this->delayed_requests.empty() && this->delayed_requests.begin()->first <= now) {
        const auto action = std::move(this->delayed_requests.begin()->second);
        this->delayed_requests.erase(this->delayed_requests.begin());
        action();
    }
    while (!this->pending_vm_changes.empty() &&
           this->pending_vm_changes.front().visible_at <= now) {
        const auto change = std::move(this->pending_vm_changes.front());
        this->pending_vm_changes.pop_front();
        if (change.vm.is_null())
            this->vms.erase(change.name);
        else
            this->vms.insert_or_assign(change.name, change.vm);
    }
    this->store.expire_leases(now);
    if (this->faults.down.empty())
        this->answer_watches();
}

} // namespace standins
