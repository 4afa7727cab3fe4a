#include "configuration/configuration_merge.h"

#include "configuration/configuration_edit.h"
#include "configuration/operator_configuration.h"
#include "settings/yaml_file.h"
#include "settings/yaml_problems.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

/// Merges one mapping into another and records in the problems which settings come from the
/// overlay, so that error messages name the right file.
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
            const auto child_path = path.empty() ? name : fmt::format("{}.{}", path, name);
            this->merge_entry(base, name, entry.second, child_path);
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
    const auto overlay_root = parse_yaml(overlay.text, overlay.file);
    if (!overlay_root.ok())
        return overlay_root.status();
    yaml_problems problems{base.file};
    const bool empty = overlay_root->IsNull();
    if (!empty && !overlay_root->IsMap())
        return absl::InvalidArgumentError(
            fmt::format("{}:1: a mapping of names is needed here", overlay.file));
    if (root->IsNull())
        *root = YAML::Node(YAML::NodeType::Map);
    if (!empty && root->IsMap())
        overlay_merger(overlay.file, problems).merge(*root, *overlay_root, "");
    static_cast<void>(operator_configuration::read(*root, problems));
    if (!problems.empty())
        return problems.status();
    return empty ? base.text : to_yaml_text(*root);
}

} // namespace verbenalever
