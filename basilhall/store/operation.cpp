#include "basilhall/store/operation.h"

namespace basilhall::store
{

namespace
{

struct Describer {
    std::string operator()(const Create &create) const { return text("create", create.key); }
    std::string operator()(const Update &update) const { return text("update", update.key); }
    std::string operator()(const Read &read) const { return text("read", read.key); }
    std::string operator()(const Remove &remove) const { return text("remove", remove.key); }
    std::string operator()(const List &list) const
    {
        return "list " + list.kind + "/" + list.prefix + "*";
    }

private:
    static std::string text(const char *verb, const ObjectKey &key)
    {
        return std::string(verb) + " " + key.kind + "/" + key.name;
    }
};

} // namespace

std::string describe(const Request &request)
{
    return std::visit(Describer(), request);
}

} // namespace basilhall::store
