#include "configuration/configuration_merge.h"

#include "configuration/configuration_edit.h"
#include "configuration/operator_configuration.h"
#include "settings/yaml_file.h"
#include "settings/yaml_problems.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

/// Lays one mapping over another and tells the problems which settings are the overlay's.
class overlay_merger {
public:
    overlay_merger(std::string overlay_file, yaml_problems& problems)
        : overlay_file(std::move(overlay_file)), problems(problems)
    {
    }

    void merge(YAML::Node base, const YAML::Node& overlay, const std::string& path)
    {
        for (const auto& entry : overlay) {
            const auto name = entry.first.Scalar();
            const auto below = path.empty() ? name : fmt::format("{}.{}", path, name);
            this->merge_entry(base, name, entry.second, below);
        }
    }

private:
    void merge_entry(YAML::Node& base, const std::string& name, const YAML::Node& value,
                     const std::string& path)
    {
        const bool present = base[name].IsDefined();
        if (value.IsMap() && present && base[name].IsMap())
            return this->merge(base[name], value, path);
        this->problems.set_source_file(path, this->overlay_file);
        if (!value.IsNull())
            base[name] = value;
        else if (present)
            base.remove(name);
        else
            this->problems.add(value.Mark().line + 1, path, "there is nothing to delete");
    }

    std::string overlay_file;
    yaml_problems& problems;
};

} // namespace

absl::StatusOr<std::string> merge_configuration(const configuration_source& base,
                                                const configuration_source& overlay)
{
    auto root = parse_yaml(base.text, base.file);
    if (!root.ok())
        return root.status();
    const auto laid = parse_yaml(overlay.text, overlay.file);
    if (!laid.ok())
        return laid.status();
    yaml_problems problems{base.file};
    const bool empty = laid->IsNull();
    if (!empty && !laid->IsMap())
        return absl::InvalidArgumentError(
            fmt::format("{}:1: a mapping of names is needed here", overlay.file));
    if (root->IsNull())
        *root = YAML::Node(YAML::NodeType::Map);
    if (!empty && root->IsMap())
        overlay_merger(overlay.file, problems).merge(*root, *laid, "");
    static_cast<void>(operator_configuration::read(*root, problems));
    if (!problems.empty())
        return problems.status();
    return empty ? base.text : yaml_text(*root);
}

} // namespace verbenalever
