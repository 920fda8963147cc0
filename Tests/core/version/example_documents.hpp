#ifndef WISTERIAHATCH_TESTS_CORE_VERSION_EXAMPLE_DOCUMENTS_HPP
#define WISTERIAHATCH_TESTS_CORE_VERSION_EXAMPLE_DOCUMENTS_HPP

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace wisteriahatch
{

// Returns the text of Examples/NAME.ini. The source folder is
// WISTERIAHATCH_SOURCE, or the working directory.
inline std::string example_document(const std::string& name)
{
    const char* const folder = std::getenv("WISTERIAHATCH_SOURCE");
    const auto path =
        std::string(folder ? folder : ".") + "/Examples/" + name + ".ini";
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("can't open " + path +
                                 "; set WISTERIAHATCH_SOURCE");
    return {std::istreambuf_iterator<char>(file), {}};
}

}

#endif
