#include "config/operator_file.hpp"

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "config/json.hpp"

namespace nettlestall::config {

extern const char kOperatorSchema[];

namespace {

struct Closer {
    void operator()(xmlDoc* d) const { xmlFreeDoc(d); }
    void operator()(xmlParserCtxt* c) const { xmlFreeParserCtxt(c); }
    void operator()(xmlSchema* s) const { xmlSchemaFree(s); }
    void operator()(xmlSchemaParserCtxt* c) const { xmlSchemaFreeParserCtxt(c); }
    void operator()(xmlSchemaValidCtxt* c) const { xmlSchemaFreeValidCtxt(c); }
};
template <class T>
using Held = std::unique_ptr<T, Closer>;

// Collects complaints with their place; all of them are told at once.
class Complaints {
   public:
    explicit Complaints(std::string file) : file_(std::move(file)) {}
    void add(long line, const std::string& element, std::string what) {
        while (!what.empty() && (what.back() == '\n' || what.back() == ' ')) what.pop_back();
        if (!text_.empty()) text_ += '\n';
        text_ +=
            file_ + ":" + std::to_string(line) + ": " + (element.empty() ? "" : "<" + element + ">: ") + what;
    }
    void add(const xmlNode* node, const std::string& what) {
        add(xmlGetLineNo(const_cast<xmlNode*>(node)), reinterpret_cast<const char*>(node->name), what);
    }
    static void take(void* self, const xmlError* error) {
        const auto* node = static_cast<const xmlNode*>(error->node);
        const bool element = node && node->type == XML_ELEMENT_NODE;
        static_cast<Complaints*>(self)->add(element ? xmlGetLineNo(const_cast<xmlNode*>(node)) : error->line,
                                            element ? reinterpret_cast<const char*>(node->name) : "",
                                            error->message ? error->message : "malformed");
    }
    static void take_plain(void* self, xmlError* error) { take(self, error); }
    void tell() const {
        if (!text_.empty()) throw json::BadInput(text_);
    }

   private:
    std::string file_, text_;
};

Held<xmlDoc> parse(const std::string& text, const std::string& name, Complaints& complaints) {
    Held<xmlParserCtxt> parser(xmlNewParserCtxt());
    xmlSetStructuredErrorFunc(&complaints, &Complaints::take_plain);
    // Neither the net nor entities: a file can't make this one read another, or grow beyond its size.
    Held<xmlDoc> document(xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()),
                                            name.c_str(), nullptr, XML_PARSE_NONET | XML_PARSE_NOCDATA));
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    if (document && xmlGetIntSubset(document.get())) complaints.add(1, "", "a document type is not expected");
    if (!document) complaints.add(1, "", "an XML document is expected");
    complaints.tell();
    return document;
}

void validate(xmlDoc* document, Complaints& complaints) {
    Held<xmlSchemaParserCtxt> reader(
        xmlSchemaNewMemParserCtxt(kOperatorSchema, static_cast<int>(std::strlen(kOperatorSchema))));
    Held<xmlSchema> schema(xmlSchemaParse(reader.get()));
    if (!schema) throw json::BadInput("the schema of the operator's file can't be read");
    Held<xmlSchemaValidCtxt> check(xmlSchemaNewValidCtxt(schema.get()));
    xmlSchemaSetValidStructuredErrors(check.get(), &Complaints::take_plain, &complaints);
    xmlSchemaSetValidOptions(check.get(),
                             XML_SCHEMA_VAL_VC_I_CREATE);  // writes the defaults into the document
    xmlSchemaValidateDoc(check.get(), document);
    complaints.tell();
}

// ---- Values: the schema has checked their form and range -------------------------------------------------

std::string text_of(const xmlNode* node, const char* name) {
    xmlChar* const value = xmlGetProp(node, reinterpret_cast<const xmlChar*>(name));
    std::string text = value ? reinterpret_cast<const char*>(value) : "";
    if (value) xmlFree(value);
    return text;
}

std::string trimmed(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n"), last = text.find_last_not_of(" \t\r\n");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

template <class T>
T number_of(const xmlNode* node, const char* name) {
    std::string text = trimmed(text_of(node, name));
    if (!text.empty() && text.front() == '+') text.erase(0, 1);
    T value{};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

Duration time_of(const xmlNode* node, const char* name) {
    return Duration(std::llround(number_of<double>(node, name) * 1e6));
}

bool is_true(const xmlNode* node, const char* name) {
    const std::string text = trimmed(text_of(node, name));
    return text == "true" || text == "1";
}

template <class F>
void for_each_child(const xmlNode* of, F&& found) {
    for (const xmlNode* child = of->children; child; child = child->next)
        if (child->type == XML_ELEMENT_NODE)
            found(child, std::string(reinterpret_cast<const char*>(child->name)));
}

// An address and a port that can be: the schema sees only the form.
void check_address(const xmlNode* node, const char* name, Complaints& complaints) {
    const std::string text = text_of(node, name);
    if (text.empty()) return;
    const auto colon = text.rfind(':');
    int port = -1, part = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    bool good = port >= 1 && port <= 65535;
    if (text.front() != '[')
        for (const char* at = text.data(); good && at < text.data() + colon; ++at) {
            const auto end = std::from_chars(at, text.data() + colon, part).ptr;
            good = part <= 255;
            at = end;
        }
    if (!good)
        complaints.add(node, std::string("attribute '") + name +
                                 "': an address and a port from 1 to 65535 are "
                                 "expected, as in 127.0.0.1:7001");
}

trunk::GroupSettings read_group(const xmlNode* node, trunk::PointCode own) {
    trunk::GroupSettings g;
    g.id = number_of<std::uint32_t>(node, "id");
    g.exchange = text_of(node, "exchange");
    g.number = number_of<int>(node, "number");
    g.zone = text_of(node, "zone");
    g.rules.point_codes = {own, number_of<int>(node, "far-point")};
    g.rules.circuits = number_of<int>(node, "circuits");
    for_each_child(node, [&g](const xmlNode* part, const std::string& name) {
        if (name == "audit") {
            g.rules.audit.enabled = is_true(part, "on");
            g.rules.audit.interval = time_of(part, "every-s");
            g.rules.audit.response_timeout = time_of(part, "patience-s");
            g.rules.audit.confirmations = number_of<int>(part, "confirmations");
        } else {
            g.rules.release_guard = time_of(part, "release-guard-s");
            g.rules.reset_repeat_interval = time_of(part, "reset-again-s");
            g.rules.link_down_hold = time_of(part, "hold-s");
        }
    });
    return g;
}

// What a schema can't tell: how values must fit together.
class Relations {
   public:
    explicit Relations(Complaints& complaints) : complaints_(complaints) {}

    void exchange(const xmlNode* node) {
        if (!once(exchanges_, text_of(node, "exchange"), node))
            complain(node, "exchange", "is another element's");
        if (!once(numbers_, text_of(node, "number"), node)) complain(node, "number", "is another element's");
    }
    void group(const xmlNode* node, const xmlNode* trunk, const trunk::GroupSettings& g) {
        if (!once(groups_, std::to_string(g.id), node)) complain(node, "id", "is another group's");
        const bool dials = !text_of(node, "dial").empty();
        if (g.rules.point_codes.own == g.rules.point_codes.far)
            complain(node, "far-point", "is this hub's own point");
        if (g.rules.point_codes.own < g.rules.point_codes.far && !dials)
            complaints_.add(node, "attribute 'dial' is expected: the hub with the lower point code dials");
        if (g.rules.point_codes.own > g.rules.point_codes.far && dials)
            complaints_.add(
                node, "attribute 'dial' is not expected: the far hub has the lower point code and dials");
        if (g.rules.point_codes.own > g.rules.point_codes.far && text_of(trunk, "listen").empty())
            complaints_.add(trunk, "attribute 'listen' is expected: the far hub of group " +
                                       std::to_string(g.id) + " dials this one");
        if (g.rules.audit.response_timeout > g.rules.audit.interval)
            complaints_.add(node, "<audit>: 'patience-s' of at most 'every-s' is expected");
    }

   private:
    bool once(std::map<std::string, const xmlNode*>& known, const std::string& key, const xmlNode* node) {
        return known.emplace(key, node).second;
    }
    void complain(const xmlNode* node, const char* attribute, const char* what) {
        complaints_.add(node, std::string("attribute '") + attribute + "': '" + text_of(node, attribute) +
                                  "' " + what + "; each is expected once");
    }
    Complaints& complaints_;
    std::map<std::string, const xmlNode*> exchanges_, numbers_, groups_;
};

TrunkSettings read_trunk(const xmlNode* node, Complaints& complaints) {
    TrunkSettings t;
    t.point_code = number_of<int>(node, "point");
    t.exchange_number = number_of<int>(node, "number");
    t.listen_address = text_of(node, "listen");
    t.ledger_folder = text_of(node, "ledger");
    check_address(node, "listen", complaints);
    Relations relations(complaints);
    for_each_child(node, [&](const xmlNode* child, const std::string& name) {
        relations.exchange(child);
        if (name == "lines") {
            check_address(child, "address", complaints);
            ListedExchange& lines = t.lines.emplace_back();
            lines.entry.exchange = text_of(child, "exchange");
            lines.entry.number = number_of<int>(child, "number");
            lines.entry.zone = text_of(child, "zone");
            lines.entry.never_tandem = true;
            lines.address = text_of(child, "address");
            return;
        }
        check_address(child, "dial", complaints);
        t.groups.push_back({read_group(child, t.point_code), text_of(child, "dial")});
        relations.group(child, node, t.groups.back().settings);
    });
    return t;
}

}  // namespace

OperatorFile parse_operator_file(const std::string& text, const std::string& name) {
    Complaints complaints(name);
    const Held<xmlDoc> document = parse(text, name, complaints);
    validate(document.get(), complaints);
    OperatorFile file;
    for_each_child(xmlDocGetRootElement(document.get()), [&](const xmlNode* part, const std::string& what) {
        if (what == "trunk") file.trunk = read_trunk(part, complaints);
        if (what == "log") file.log = {text_of(part, "format") == "json", text_of(part, "level")};
    });
    complaints.tell();
    return file;
}

OperatorFile read_operator_file(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) throw json::BadInput(path + ": can't be read");
    return parse_operator_file(text.str(), path);
}

std::string find_restart_reason(const OperatorFile& before, const OperatorFile& after) {
    if (before.trunk.has_value() != after.trunk.has_value())
        return "<trunk> can come or go only with a restart";
    if (!before.trunk) return {};
    const TrunkSettings &a = *before.trunk, &b = *after.trunk;
    if (a.point_code != b.point_code || a.exchange_number != b.exchange_number ||
        a.listen_address != b.listen_address || a.ledger_folder != b.ledger_folder)
        return "<trunk>: 'point', 'number', 'listen' and 'ledger' must be the same until a restart";
    const auto same_lines = [](const ListedExchange& x, const ListedExchange& y) {
        return x.entry.exchange == y.entry.exchange && x.entry.number == y.entry.number &&
               x.address == y.address;
    };
    if (!std::equal(a.lines.begin(), a.lines.end(), b.lines.begin(), b.lines.end(), same_lines))
        return "<lines> must be the same until a restart";
    const auto same_group = [](const TrunkSettings::Group& x, const TrunkSettings::Group& y) {
        return x.settings.id == y.settings.id && x.settings.exchange == y.settings.exchange &&
               x.settings.number == y.settings.number &&
               x.settings.rules.point_codes.far == y.settings.rules.point_codes.far &&
               x.settings.rules.circuits == y.settings.rules.circuits && x.dial_address == y.dial_address;
    };
    if (!std::equal(a.groups.begin(), a.groups.end(), b.groups.begin(), b.groups.end(), same_group))
        return "<group>: only <audit> and <times> can change without a restart";
    return {};
}

}  // namespace nettlestall::config
