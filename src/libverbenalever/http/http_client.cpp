#include "http/http_client.h"

#include "loop/event_loop.h"
#include "loop/io_watcher.h"
#include "loop/timer.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace verbenalever {

namespace {

constexpr std::size_t max_response_body_bytes = 16U << 20U;
constexpr long max_cached_connections = 1024;
constexpr long connect_timeout_ms = 2000;
constexpr std::size_t max_reusable_handles = 256;

/// One call in progress and the curl handle that it uses.
struct transfer {
    std::uint64_t id = 0;
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
    http_call call;
    http_client::callback done;
    http_result result;
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user_data)
{
    auto& body = static_cast<transfer*>(user_data)->result.body;
    if (body.size() + size * count > max_response_body_bytes)
        return 0;
    body.append(data, size * count);
    return size * count;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user_data)
{
    std::string_view line(data, size * count);
    while (line.ends_with('\n') || line.ends_with('\r'))
        line.remove_suffix(1);
    if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        while (value.starts_with(' '))
            value.remove_prefix(1);
        static_cast<transfer*>(user_data)->result.headers.push_back(
            {std::string(line.substr(0, colon)), std::string(value)});
    }
    return size * count;
}

/// Called by libcurl just before it writes a request to a connection. A second invocation for the
/// same call means that libcurl is about to resend the request on another connection. The resend is
/// aborted: only the caller of the client knows whether the request is idempotent.
int on_before_send(void* user_data, char*, char*, int, int)
{
    auto& result = static_cast<transfer*>(user_data)->result;
    if (result.may_have_been_sent)
        return CURL_PREREQFUNC_ABORT;
    result.may_have_been_sent = true;
    return CURL_PREREQFUNC_OK;
}

absl::Status to_status(CURLcode code, const http_call& call)
{
    if (code == CURLE_OK)
        return absl::OkStatus();
    const auto message = fmt::format("{} {}: {}", call.method, call.url, curl_easy_strerror(code));
    if (code == CURLE_OPERATION_TIMEDOUT)
        return absl::DeadlineExceededError(message);
    return absl::UnavailableError(message);
}

std::int64_t transferred_bytes(CURL* handle)
{
    long request_headers = 0;
    long response_headers = 0;
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_headers);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &response_headers);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    return request_headers + response_headers + uploaded + downloaded;
}

void set_curl_options(transfer& current, const http_client_options& options)
{
    CURL* handle = current.handle;
    const http_call& call = current.call;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
    }
    current.headers = curl_slist_append(current.headers, "Expect:");
    current.headers = curl_slist_append(current.headers, "Accept:");
    for (const auto& header : call.headers) {
        const auto line = fmt::format("{}: {}", header.name, header.value);
        current.headers = curl_slist_append(current.headers, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, current.headers);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(options.idle_limit.count()));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &current);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &current);
}

} // namespace

class http_client::implementation {
public:
    implementation(event_loop& loop, http_client_options options)
        : loop(loop), options(std::move(options)),
          curl_timer(loop,
                     [this] {
                         // Safe to destroy the watchers: none of them is
                         // running its callback now.
                         this->removed_watchers.clear();
                         this->process_events(CURL_SOCKET_TIMEOUT, 0);
                     }),
          multi(curl_multi_init())
    {
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &implementation::on_socket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &implementation::on_timer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
        curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                          this->options.connections_per_host);
    }

    ~implementation()
    {
        for (auto& [id, current] : this->transfers) {
            curl_multi_remove_handle(this->multi, current->handle);
            curl_easy_cleanup(current->handle);
            curl_slist_free_all(current->headers);
        }
        for (CURL* handle : this->reusable_handles)
            curl_easy_cleanup(handle);
        curl_multi_cleanup(this->multi);
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    std::uint64_t start(http_call call, callback done)
    {
        auto current = std::make_unique<transfer>();
        current->id = ++this->last_id;
        current->handle = this->acquire_handle();
        current->call = std::move(call);
        current->done = std::move(done);
        set_curl_options(*current, this->options);
        if (!this->options.local_address.empty())
            curl_easy_setopt(current->handle, CURLOPT_INTERFACE,
                             this->options.local_address.c_str());
        transfer& added = *current;
        this->transfers.emplace(added.id, std::move(current));
        curl_multi_add_handle(this->multi, added.handle);
        return added.id;
    }

    void cancel(std::uint64_t id)
    {
        if (const auto found = this->transfers.find(id); found != this->transfers.end()) {
            const auto current = std::move(found->second);
            this->transfers.erase(found);
            this->release_handle(*current);
        }
    }

private:
    static int on_socket(CURL*, curl_socket_t descriptor, int what, void* self, void*)
    {
        auto& client = *static_cast<implementation*>(self);
        if (what == CURL_POLL_REMOVE) {
            client.remove_watcher(descriptor);
            return 0;
        }
        auto& watcher = client.watchers[descriptor];
        if (watcher == nullptr) {
            watcher = std::make_unique<io_watcher>(
                client.loop, descriptor, [&client, descriptor](bool readable, bool writable) {
                    client.process_events(descriptor, (readable ? CURL_CSELECT_IN : 0) |
                                                          (writable ? CURL_CSELECT_OUT : 0));
                });
        }
        watcher->watch((what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* self)
    {
        auto& client = *static_cast<implementation*>(self);
        if (timeout_ms < 0)
            client.curl_timer.stop();
        else
            client.curl_timer.start_once(milliseconds(timeout_ms));
        return 0;
    }

    /// Stop the watcher now, but destroy it later from the timer: this function may run within the
    /// callback of that watcher.
    void remove_watcher(int descriptor)
    {
        if (const auto found = this->watchers.find(descriptor); found != this->watchers.end()) {
            found->second->watch(false, false);
            this->removed_watchers.push_back(std::move(found->second));
            this->watchers.erase(found);
        }
    }

    void process_events(curl_socket_t descriptor, int events)
    {
        int running = 0;
        curl_multi_socket_action(this->multi, descriptor, events, &running);
        this->finish_completed_transfers();
    }

    void finish_completed_transfers()
    {
        int remaining = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            transfer* finished = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
            this->finish(finished->id, message->data.result);
        }
    }

    void finish(std::uint64_t id, CURLcode code)
    {
        const auto found = this->transfers.find(id);
        const auto current = std::move(found->second);
        this->transfers.erase(found);
        long status = 0;
        curl_easy_getinfo(current->handle, CURLINFO_RESPONSE_CODE, &status);
        current->result.status = static_cast<int>(status);
        current->result.bytes = transferred_bytes(current->handle);
        current->result.transport = to_status(code, current->call);
        this->release_handle(*current);
        current->done(std::move(current->result));
    }

    void release_handle(transfer& current)
    {
        curl_multi_remove_handle(this->multi, current.handle);
        curl_slist_free_all(current.headers);
        current.headers = nullptr;
        if (this->reusable_handles.size() < max_reusable_handles) {
            curl_easy_reset(current.handle);
            this->reusable_handles.push_back(current.handle);
        }
        else {
            curl_easy_cleanup(current.handle);
        }
    }

    CURL* acquire_handle()
    {
        if (this->reusable_handles.empty())
            return curl_easy_init();
        CURL* handle = this->reusable_handles.back();
        this->reusable_handles.pop_back();
        return handle;
    }

    event_loop& loop;
    http_client_options options;
    timer curl_timer;
    CURLM* multi;
    std::uint64_t last_id = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> transfers;
    std::map<curl_socket_t, std::unique_ptr<io_watcher>> watchers;
    std::vector<std::unique_ptr<io_watcher>> removed_watchers;
    std::vector<CURL*> reusable_handles;
};

http_client::http_client(event_loop& loop, std::string local_address)
    : http_client(loop, http_client_options{.local_address = std::move(local_address)})
{
}

http_client::http_client(event_loop& loop, http_client_options options)
    : impl(std::make_unique<implementation>(loop, std::move(options)))
{
}

http_client::~http_client() = default;

std::uint64_t http_client::start(http_call call, callback done)
{
    return this->impl->start(std::move(call), std::move(done));
}

void http_client::cancel(std::uint64_t call)
{
    this->impl->cancel(call);
}

} // namespace verbenalever
