// Handle of a running watch of the object API.
//
//     std::unique_ptr<KubeWatch> watch = store.watch("shards", "", 60s, onEvent, onEnded);
//     watch->stop();
#pragma once

namespace basilhall::store
{

// Destroying it stops the watch.
class KubeWatch
{
public:
    virtual ~KubeWatch() = default;

    // Neither handler of the watch is called after this returns. Idempotent.
    virtual void stop() = 0;
};

} // namespace basilhall::store
