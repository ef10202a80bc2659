#include "basilhall/manifest/root.h"

#include "basilhall/config/json_fields.h"
#include "basilhall/manifest/name.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace basilhall::manifest
{

namespace
{

namespace json = boost::json;
using config::JsonFields;

json::array encodeNames(const std::vector<ChunkName> &names)
{
    json::array array;
    for (const ChunkName &name : names) {
        array.emplace_back(toString(name));
    }
    return array;
}

json::object encode(const Publication &publication)
{
    return {{"generation", publication.generation},
            {"base_generation", publication.baseGeneration},
            {"publisher", publication.publisher},
            {"publication_id", publication.publicationId},
            {"wall_ms", publication.wallMillis},
            {"change_count", publication.changeCount},
            {"changes", json::array(publication.changes.begin(), publication.changes.end())}};
}

Result<Publication> decodePublication(const json::value &value)
{
    if (!value.is_object()) {
        return Error(ErrorKind::Corrupt, "a publication is not a JSON object");
    }
    JsonFields fields(value.get_object());
    Publication publication;
    publication.generation = fields.unsignedInteger("generation");
    publication.baseGeneration = fields.unsignedInteger("base_generation");
    publication.publisher = fields.string("publisher");
    publication.publicationId = fields.string("publication_id");
    publication.wallMillis = fields.signedInteger("wall_ms");
    publication.changeCount = fields.unsignedInteger("change_count");
    publication.changes = fields.strings("changes");
    BOOST_OUTCOME_TRY(fields.finish());
    return publication;
}

Result<std::vector<ChunkName>> decodeNames(const std::vector<std::string> &texts)
{
    std::vector<ChunkName> names;
    for (const std::string &text : texts) {
        BOOST_OUTCOME_TRY(ChunkName name, parseChunkName(text));
        names.push_back(std::move(name));
    }
    return names;
}

Result<std::vector<Publication>> decodeHistory(const json::value *value)
{
    std::vector<Publication> history;
    if (value == nullptr || !value->is_array()) {
        return Error(ErrorKind::Corrupt, "member \"history\" is not an array");
    }
    for (const json::value &item : value->get_array()) {
        BOOST_OUTCOME_TRY(Publication publication, decodePublication(item));
        history.push_back(std::move(publication));
    }
    return history;
}

} // namespace

store::ObjectKey rootKey()
{
    return {std::string(kObjectKind), "root"};
}

store::ObjectKey chunkKey(const ChunkName &name)
{
    return {std::string(kObjectKind), toString(name)};
}

std::string toString(const ChunkName &name)
{
    return name.digest + "." + std::to_string(name.generation);
}

Result<ChunkName> parseChunkName(std::string_view text)
{
    const std::size_t dot = text.find('.');
    ChunkName name;
    name.digest = text.substr(0, dot);
    const std::string_view digits = dot == std::string_view::npos ? "" : text.substr(dot + 1);
    const char *const end = digits.data() + digits.size();
    const auto [parsedEnd, status] = std::from_chars(digits.data(), end, name.generation);
    if (!isKeyDigest(name.digest) || status != std::errc() || parsedEnd != end) {
        return Error(ErrorKind::Corrupt,
                     "\"" + std::string(text) + "\" is not the name of a chunk");
    }
    return name;
}

std::string encodeRoot(const Root &root)
{
    json::array history;
    for (const Publication &publication : root.history) {
        history.emplace_back(encode(publication));
    }
    return json::serialize(json::object{{"generation", root.generation},
                                        {"chunks", encodeNames(root.chunks)},
                                        {"retired", encodeNames(root.retired)},
                                        {"history", std::move(history)}});
}

Result<Root> decodeRoot(std::string_view text)
{
    json::error_code fault;
    const json::value parsed = json::parse(text, fault);
    if (fault || !parsed.is_object()) {
        return Error(ErrorKind::Corrupt, "manifest root is not a JSON object");
    }
    const json::object &object = parsed.get_object();
    JsonFields fields(object);
    Root root;
    root.generation = fields.unsignedInteger("generation");
    BOOST_OUTCOME_TRY(root.chunks, decodeNames(fields.strings("chunks")));
    BOOST_OUTCOME_TRY(root.retired, decodeNames(fields.strings("retired")));
    BOOST_OUTCOME_TRY(root.history, decodeHistory(object.if_contains("history")));
    if (root.generation == 0 || root.chunks.empty() || root.history.empty()
        || root.history.front().generation != root.generation) {
        return Error(ErrorKind::Corrupt,
                     "manifest root lacks a generation, chunks or history, or its newest "
                     "publication has another generation");
    }
    return root;
}

} // namespace basilhall::manifest
