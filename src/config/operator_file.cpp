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

// The text of deploy/nettlestall.xsd, which is compiled in.
extern const char kOperatorSchema[];

namespace {

// Frees the objects of libxml2.
struct XmlDeleter {
    void operator()(xmlDoc* d) const { xmlFreeDoc(d); }
    void operator()(xmlParserCtxt* c) const { xmlFreeParserCtxt(c); }
    void operator()(xmlSchema* s) const { xmlSchemaFree(s); }
    void operator()(xmlSchemaParserCtxt* c) const { xmlSchemaFreeParserCtxt(c); }
    void operator()(xmlSchemaValidCtxt* c) const { xmlSchemaFreeValidCtxt(c); }
};
template <class T>
using XmlPtr = std::unique_ptr<T, XmlDeleter>;

// Collects errors with their file, line and element, to report them all at once.
class ErrorList {
   public:
    explicit ErrorList(std::string file) : file_(std::move(file)) {}
    void add(long line, const std::string& element, std::string what) {
        while (!what.empty() && (what.back() == '\n' || what.back() == ' ')) what.pop_back();
        if (!text_.empty()) text_ += '\n';
        text_ +=
            file_ + ":" + std::to_string(line) + ": " + (element.empty() ? "" : "<" + element + ">: ") + what;
    }
    void add(const xmlNode* node, const std::string& what) {
        add(xmlGetLineNo(const_cast<xmlNode*>(node)), reinterpret_cast<const char*>(node->name), what);
    }
    // Adds an error that libxml2 reports; `self` is the ErrorList.
    static void on_xml_error(void* self, const xmlError* error) {
        const auto* node = static_cast<const xmlNode*>(error->node);
        const bool element = node && node->type == XML_ELEMENT_NODE;
        static_cast<ErrorList*>(self)->add(element ? xmlGetLineNo(const_cast<xmlNode*>(node)) : error->line,
                                           element ? reinterpret_cast<const char*>(node->name) : "",
                                           error->message ? error->message : "malformed");
    }
    // Has the signature that libxml2 declares for its callback.
    static void on_xml_error_mutable(void* self, xmlError* error) { on_xml_error(self, error); }
    // Throws if there are errors.
    void throw_if_any() const {
        if (!text_.empty()) throw json::BadInput(text_);
    }

   private:
    std::string file_, text_;
};

// Parses the text; throws if it is not well-formed XML or has a document type.
XmlPtr<xmlDoc> parse(const std::string& text, const std::string& name, ErrorList& errors) {
    XmlPtr<xmlParserCtxt> parser(xmlNewParserCtxt());
    xmlSetStructuredErrorFunc(&errors, &ErrorList::on_xml_error_mutable);
    // Without network access and entity substitution, so that the file can neither make this process read
    // another file nor expand beyond its own size.
    XmlPtr<xmlDoc> document(xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()),
                                              name.c_str(), nullptr, XML_PARSE_NONET | XML_PARSE_NOCDATA));
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    if (document && xmlGetIntSubset(document.get())) errors.add(1, "", "a document type is not expected");
    if (!document) errors.add(1, "", "an XML document is expected");
    errors.throw_if_any();
    return document;
}

// Checks the document against the schema and adds the defaults of attributes to it.
void validate(xmlDoc* document, ErrorList& errors) {
    XmlPtr<xmlSchemaParserCtxt> schema_parser(
        xmlSchemaNewMemParserCtxt(kOperatorSchema, static_cast<int>(std::strlen(kOperatorSchema))));
    XmlPtr<xmlSchema> schema(xmlSchemaParse(schema_parser.get()));
    if (!schema) throw json::BadInput("the schema of the operator's file can't be read");
    XmlPtr<xmlSchemaValidCtxt> validator(xmlSchemaNewValidCtxt(schema.get()));
    xmlSchemaSetValidStructuredErrors(validator.get(), &ErrorList::on_xml_error_mutable, &errors);
    xmlSchemaSetValidOptions(validator.get(),
                             XML_SCHEMA_VAL_VC_I_CREATE);  // writes the defaults into the document
    xmlSchemaValidateDoc(validator.get(), document);
    errors.throw_if_any();
}

// ---- Attribute values, whose form and range the schema has checked ---------------------------------------

// The attribute's text; empty if it is absent.
std::string get_text(const xmlNode* node, const char* name) {
    xmlChar* const value = xmlGetProp(node, reinterpret_cast<const xmlChar*>(name));
    std::string text = value ? reinterpret_cast<const char*>(value) : "";
    if (value) xmlFree(value);
    return text;
}

// The text without white space at its ends.
std::string trim(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n"), last = text.find_last_not_of(" \t\r\n");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

// The attribute's number; zero if it is absent.
template <class T>
T get_number(const xmlNode* node, const char* name) {
    std::string text = trim(get_text(node, name));
    if (!text.empty() && text.front() == '+') text.erase(0, 1);
    T value{};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// The attribute's number of seconds; zero if it is absent.
Duration get_duration(const xmlNode* node, const char* name) {
    return Duration(std::llround(get_number<double>(node, name) * 1e6));
}

// The attribute's boolean; false if it is absent.
bool get_bool(const xmlNode* node, const char* name) {
    const std::string text = trim(get_text(node, name));
    return text == "true" || text == "1";
}

// Calls `visit` with each child element and its name.
template <class F>
void for_each_child(const xmlNode* parent, F&& visit) {
    for (const xmlNode* child = parent->children; child; child = child->next)
        if (child->type == XML_ELEMENT_NODE)
            visit(child, std::string(reinterpret_cast<const char*>(child->name)));
}

// Checks the ranges of the port and, in an IPv4 address, of the four numbers; the schema checks only the
// form. An absent attribute is valid.
void check_address(const xmlNode* node, const char* name, ErrorList& errors) {
    const std::string text = get_text(node, name);
    if (text.empty()) return;
    const auto colon = text.rfind(':');
    int port = -1, octet = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    bool valid = port >= 1 && port <= 65535;
    if (text.front() != '[')
        for (const char* at = text.data(); valid && at < text.data() + colon; ++at) {
            const auto end = std::from_chars(at, text.data() + colon, octet).ptr;
            valid = octet <= 255;
            at = end;
        }
    if (!valid)
        errors.add(node, std::string("attribute '") + name +
                             "': an address and a port from 1 to 65535 are "
                             "expected, as in 127.0.0.1:7001");
}

// Reads an element <group>. `own` is this hub's point code.
trunk::GroupSettings read_group(const xmlNode* node, trunk::PointCode own) {
    trunk::GroupSettings group;
    group.id = get_number<std::uint32_t>(node, "id");
    group.exchange = get_text(node, "exchange");
    group.number = get_number<int>(node, "number");
    group.zone = get_text(node, "zone");
    group.rules.point_codes = {own, get_number<int>(node, "far-point")};
    group.rules.circuits = get_number<int>(node, "circuits");
    for_each_child(node, [&group](const xmlNode* part, const std::string& name) {
        if (name == "audit") {
            group.rules.audit.enabled = get_bool(part, "on");
            group.rules.audit.interval = get_duration(part, "every-s");
            group.rules.audit.response_timeout = get_duration(part, "patience-s");
            group.rules.audit.confirmations = get_number<int>(part, "confirmations");
        } else {
            group.rules.release_guard = get_duration(part, "release-guard-s");
            group.rules.reset_repeat_interval = get_duration(part, "reset-again-s");
            group.rules.link_down_hold = get_duration(part, "hold-s");
        }
    });
    return group;
}

// Checks what the schema cannot express: that values are unique and that they are consistent with each other.
class ConsistencyChecker {
   public:
    explicit ConsistencyChecker(ErrorList& errors) : errors_(errors) {}

    // Checks that the name and the number of the exchange of <lines> or <group> are used only once.
    void check_exchange(const xmlNode* node) {
        if (!insert_unique(exchanges_, get_text(node, "exchange"), node))
            add_duplicate(node, "exchange", "is another element's");
        if (!insert_unique(numbers_, get_text(node, "number"), node))
            add_duplicate(node, "number", "is another element's");
    }
    // Checks the identity, the point codes, the addresses and the audit times of <group>. The hub with the
    // lower point code connects to the other one.
    void check_group(const xmlNode* node, const xmlNode* trunk, const trunk::GroupSettings& group) {
        if (!insert_unique(groups_, std::to_string(group.id), node))
            add_duplicate(node, "id", "is another group's");
        const bool dials = !get_text(node, "dial").empty();
        if (group.rules.point_codes.own == group.rules.point_codes.far)
            add_duplicate(node, "far-point", "is this hub's own point");
        if (group.rules.point_codes.own < group.rules.point_codes.far && !dials)
            errors_.add(node, "attribute 'dial' is expected: the hub with the lower point code dials");
        if (group.rules.point_codes.own > group.rules.point_codes.far && dials)
            errors_.add(node,
                        "attribute 'dial' is not expected: the far hub has the lower point code and dials");
        if (group.rules.point_codes.own > group.rules.point_codes.far && get_text(trunk, "listen").empty())
            errors_.add(trunk, "attribute 'listen' is expected: the far hub of group " +
                                   std::to_string(group.id) + " dials this one");
        if (group.rules.audit.response_timeout > group.rules.audit.interval)
            errors_.add(node, "<audit>: 'patience-s' of at most 'every-s' is expected");
    }

   private:
    // Adds the key; false if another element has it already.
    bool insert_unique(std::map<std::string, const xmlNode*>& seen, const std::string& key,
                       const xmlNode* node) {
        return seen.emplace(key, node).second;
    }
    // Adds the error that the attribute's value, which must be unique, is taken; `what` says by whom.
    void add_duplicate(const xmlNode* node, const char* attribute, const char* what) {
        errors_.add(node, std::string("attribute '") + attribute + "': '" + get_text(node, attribute) + "' " +
                              what + "; each is expected once");
    }
    ErrorList& errors_;
    std::map<std::string, const xmlNode*> exchanges_, numbers_, groups_;
};

// Reads the element <trunk>; adds all errors that the schema did not find.
TrunkSettings read_trunk(const xmlNode* node, ErrorList& errors) {
    TrunkSettings settings;
    settings.point_code = get_number<int>(node, "point");
    settings.exchange_number = get_number<int>(node, "number");
    settings.listen_address = get_text(node, "listen");
    settings.ledger_folder = get_text(node, "ledger");
    check_address(node, "listen", errors);
    ConsistencyChecker checker(errors);
    for_each_child(node, [&](const xmlNode* child, const std::string& name) {
        checker.check_exchange(child);
        if (name == "lines") {
            check_address(child, "address", errors);
            ListedExchange& lines = settings.lines.emplace_back();
            lines.entry.exchange = get_text(child, "exchange");
            lines.entry.number = get_number<int>(child, "number");
            lines.entry.zone = get_text(child, "zone");
            lines.entry.never_tandem = true;
            lines.address = get_text(child, "address");
            return;
        }
        check_address(child, "dial", errors);
        settings.groups.push_back({read_group(child, settings.point_code), get_text(child, "dial")});
        checker.check_group(child, node, settings.groups.back().settings);
    });
    return settings;
}

}  // namespace

OperatorFile parse_operator_file(const std::string& text, const std::string& name) {
    ErrorList errors(name);
    const XmlPtr<xmlDoc> document = parse(text, name, errors);
    validate(document.get(), errors);
    OperatorFile file;
    for_each_child(xmlDocGetRootElement(document.get()),
                   [&](const xmlNode* child, const std::string& element) {
                       if (element == "trunk") file.trunk = read_trunk(child, errors);
                       if (element == "log")
                           file.log = {get_text(child, "format") == "json", get_text(child, "level")};
                   });
    errors.throw_if_any();
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
        return "<trunk> can be added or removed only with a restart";
    if (!before.trunk) return {};
    const TrunkSettings &current = *before.trunk, &changed = *after.trunk;
    if (current.point_code != changed.point_code || current.exchange_number != changed.exchange_number ||
        current.listen_address != changed.listen_address || current.ledger_folder != changed.ledger_folder)
        return "<trunk>: 'point', 'number', 'listen' and 'ledger' must be the same until a restart";
    const auto same_lines = [](const ListedExchange& x, const ListedExchange& y) {
        return x.entry.exchange == y.entry.exchange && x.entry.number == y.entry.number &&
               x.address == y.address;
    };
    if (!std::equal(current.lines.begin(), current.lines.end(), changed.lines.begin(), changed.lines.end(),
                    same_lines))
        return "<lines> must be the same until a restart";
    const auto same_group = [](const TrunkSettings::Group& x, const TrunkSettings::Group& y) {
        return x.settings.id == y.settings.id && x.settings.exchange == y.settings.exchange &&
               x.settings.number == y.settings.number &&
               x.settings.rules.point_codes.far == y.settings.rules.point_codes.far &&
               x.settings.rules.circuits == y.settings.rules.circuits && x.dial_address == y.dial_address;
    };
    if (!std::equal(current.groups.begin(), current.groups.end(), changed.groups.begin(),
                    changed.groups.end(), same_group))
        return "<group>: only <audit> and <times> can change without a restart";
    return {};
}

}  // namespace nettlestall::config
