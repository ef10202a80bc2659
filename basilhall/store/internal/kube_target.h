// Request targets of the Kubernetes-style object API.
//
//     KubeTarget targets("basilhall");
//     targets.object({"shards", "0"}); // /apis/basilhall.dev/v1/namespaces/basilhall/shards/0
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/store/operation.h"

#include <string>

namespace basilhall::store
{

// Immutable.
class KubeTarget
{
public:
    explicit KubeTarget(std::string nameSpace);

    const std::string &nameSpace() const { return m_nameSpace; }
    std::string collection(const std::string &kind) const;
    std::string object(const ObjectKey &key) const;
    std::string page(const std::string &kind, int limit, const std::string &continuation) const;
    std::string watch(const std::string &kind, const ResourceVersion &since, Duration length) const;

private:
    std::string m_nameSpace;
};

// Returns InvalidRequest if a kind or name is not valid in a path or the data is too large.
Result<void> checkRequest(const Request &request);

} // namespace basilhall::store
