#include "basilhall/audit/record.h"

#include "basilhall/base/utc_text.h"
#include "basilhall/config/json_fields.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace basilhall::audit
{

namespace json = boost::json;

std::string encodeRecord(const Record &record)
{
    return json::serialize(json::object{{"wall_ms", record.wallMillis},
                                        {"host", record.host.value()},
                                        {"incarnation", record.incarnation.value()},
                                        {"number", record.number},
                                        {"kind", toString(record.kind)},
                                        {"subject", record.subject},
                                        {"detail", record.detail}});
}

Result<Record> decodeRecord(std::string_view line)
{
    json::error_code fault;
    const json::value parsed = json::parse(line, fault);
    if (fault || !parsed.is_object()) {
        return Error(ErrorKind::Corrupt, "audit record is not a JSON object");
    }
    config::JsonFields fields(parsed.get_object());
    Record record;
    record.wallMillis = fields.signedInteger("wall_ms");
    record.host = HostName(fields.string("host"));
    record.incarnation = Incarnation(fields.string("incarnation"));
    record.number = fields.unsignedInteger("number");
    const std::optional<EventKind> kind = eventKindFromName(fields.string("kind"));
    if (!kind) {
        fields.addFault("kind", "is not known");
    }
    record.kind = kind.value_or(EventKind::Refusal);
    record.subject = fields.string("subject");
    record.detail = fields.string("detail");
    BOOST_OUTCOME_TRY(fields.finish());
    return record;
}

std::string describe(const Record &record)
{
    std::string text = toUtcText(record.wallMillis) + " " + record.host.value() + " "
        + std::string(toString(record.kind)) + " " + record.subject;
    if (!record.detail.empty()) {
        text += ": " + record.detail;
    }
    // One record is one line.
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
}

} // namespace basilhall::audit
