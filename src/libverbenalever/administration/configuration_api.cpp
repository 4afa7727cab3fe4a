#include "administration/configuration_api.h"

#include "administration/admin_routes.h"
#include "administration/change_responder.h"
#include "configuration/configuration_store.h"
#include "configuration/configuration_writer.h"
#include "http/problem.h"

namespace verbenalever {

namespace {

constexpr int status_unavailable = 503;
constexpr milliseconds no_wait{0};

nlohmann::json description_of(const configuration_document& document)
{
    return {{"revision", document.revision},
            {"number", document.number},
            {"base", document.base},
            {"by", document.operator_key_id},
            {"accepted_us", document.accepted_us},
            {"text", document.text}};
}

} // namespace

http_response failed_change_response(const absl::Status& status)
{
    if (!absl::IsUnknown(status))
        return not_run_response(status, absl::IsAborted(status) ? "newer_revision"
                                                                : "configuration_refused");
    const std::string message(status.message());
    return problem{.status = status_unavailable,
                   .outcome = work_outcome::unknown,
                   .code = "outcome_unknown",
                   .message = message,
                   .retry_after = std::nullopt}
        .response();
}

std::function<void(const absl::StatusOr<configuration_document>&)>
make_change_callback(change_responder& responder, milliseconds wait, http_responder respond)
{
    return [&responder, wait,
            respond = std::move(respond)](const absl::StatusOr<configuration_document>& accepted) {
        if (!accepted.ok())
            return respond(failed_change_response(accepted.status()));
        responder.respond_when_distributed(
            {.revision = accepted->revision, .restriction = {}, .warning = {}}, wait, respond);
    };
}

configuration_api::configuration_api(configuration_store& configuration,
                                     configuration_writer& writer, change_responder& responder)
    : configuration(configuration), writer(writer), responder(responder)
{
}

void configuration_api::add_routes(admin_routes& routes)
{
    routes.add(
        "GET", "/v1/admin/configuration",
        [this](const admin_request&, http_responder respond) { this->show(std::move(respond)); });
    routes.add("PUT", "/v1/admin/configuration",
               [this](const admin_request& request, http_responder respond) {
                   this->apply(request, std::move(respond));
               });
    routes.add("GET", "/v1/admin/configuration/history",
               [this](const admin_request&, http_responder respond) {
                   this->show_history(std::move(respond));
               });
}

void configuration_api::show(http_responder respond) const
{
    auto body = description_of(this->configuration.stored());
    auto restrictions = nlohmann::json::array();
    for (const auto& [id, member] : this->configuration.restrictions().all())
        restrictions.push_back(nlohmann::json::parse(member.encode()));
    body["restrictions"] = std::move(restrictions);
    respond(http_response::json(200, body.dump()));
}

void configuration_api::apply(const admin_request& request, http_responder respond)
{
    constexpr std::int64_t missing = -1;
    const auto base = request.base_revision(missing);
    if (!base.ok() || *base == missing)
        return respond(not_run_response(
            base.ok() ? absl::InvalidArgumentError(
                            "If-Match must hold the revision that the change is based on")
                      : base.status(),
            "bad_header"));
    const auto wait = request.wait_time(no_wait);
    if (!wait.ok())
        return respond(not_run_response(wait.status(), "bad_query"));
    this->writer.apply({.base = *base,
                        .text = request.http.body,
                        .operator_key_id = request.operator_key_id,
                        .resolves = {}},
                       make_change_callback(this->responder, *wait, std::move(respond)));
}

void configuration_api::show_history(http_responder respond)
{
    this->writer.history([this, respond = std::move(respond)](
                             const absl::StatusOr<std::vector<configuration_document>>& documents) {
        if (!documents.ok())
            return respond(
                not_run_response(absl::UnavailableError("the configuration store does not answer"),
                                 "store_unavailable"));
        auto list = nlohmann::json::array({description_of(this->configuration.stored())});
        for (const auto& document : *documents) {
            if (document.revision < this->configuration.stored().revision)
                list.push_back(description_of(document));
        }
        respond(http_response::json(200, nlohmann::json{{"revisions", list}}.dump()));
    });
}

} // namespace verbenalever
