#include "basilhall/store/internal/kube_target.h"

namespace basilhall::store
{

namespace
{

constexpr std::string_view kNameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-.";
constexpr std::size_t kMaxNameBytes = 253;

std::string encodeParameter(std::string_view text)
{
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (kNameCharacters.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += {'%', kDigits[byte >> 4U], kDigits[byte & 0xfU]};
        }
    }
    return encoded;
}

Result<void> checkName(const std::string &name)
{
    if (name.empty() || name.size() > kMaxNameBytes || name.front() == '.'
        || name.find_first_not_of(kNameCharacters) != std::string::npos) {
        return Error(ErrorKind::InvalidRequest,
                     "\"" + name + "\" is not a valid name in the object API");
    }
    return success();
}

struct RequestValidator {
    Result<void> operator()(const Create &create) const { return check(create.key, create.data); }
    Result<void> operator()(const Update &update) const
    {
        if (update.expected.empty()) {
            return Error(ErrorKind::InvalidRequest,
                         "update of \"" + update.key.name + "\" has no expected version");
        }
        return check(update.key, update.data);
    }
    Result<void> operator()(const Read &read) const { return check(read.key, {}); }
    Result<void> operator()(const Remove &remove) const { return check(remove.key, {}); }
    Result<void> operator()(const List &list) const { return checkName(list.kind); }

private:
    static Result<void> check(const ObjectKey &key, std::string_view data)
    {
        BOOST_OUTCOME_TRYV(checkName(key.kind));
        BOOST_OUTCOME_TRYV(checkName(key.name));
        if (data.size() > kMaxObjectBytes) {
            return Error(ErrorKind::InvalidRequest,
                         "object \"" + key.kind + "/" + key.name
                             + "\" is too large: " + std::to_string(data.size()) + " bytes");
        }
        return success();
    }
};

} // namespace

KubeTarget::KubeTarget(std::string nameSpace)
    : m_nameSpace(std::move(nameSpace))
{
}

std::string KubeTarget::collection(const std::string &kind) const
{
    return "/apis/basilhall.dev/v1/namespaces/" + m_nameSpace + "/" + kind;
}

std::string KubeTarget::object(const ObjectKey &key) const
{
    return collection(key.kind) + "/" + key.name;
}

std::string KubeTarget::page(const std::string &kind, int limit,
                             const std::string &continuation) const
{
    std::string target = collection(kind) + "?limit=" + std::to_string(limit);
    if (!continuation.empty()) {
        target += "&continue=" + encodeParameter(continuation);
    }
    return target;
}

std::string KubeTarget::watch(const std::string &kind, const ResourceVersion &since,
                              Duration length) const
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(length).count();
    std::string target = collection(kind) + "?watch=1&timeoutSeconds=" + std::to_string(seconds);
    if (!since.empty()) {
        target += "&resourceVersion=" + encodeParameter(since);
    }
    return target;
}

Result<void> checkRequest(const Request &request)
{
    return std::visit(RequestValidator(), request);
}

} // namespace basilhall::store
