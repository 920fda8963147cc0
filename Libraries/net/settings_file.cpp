#include "net/settings_file.hpp"

#include <boost/property_tree/ini_parser.hpp>

namespace wisteriahatch
{

result<boost::property_tree::ptree> read_settings_file(const std::string& path)
{
    boost::property_tree::ptree tree;
    try
    {
        boost::property_tree::read_ini(path, tree);
    }
    catch (const boost::property_tree::ini_parser_error& failure)
    {
        return invalid_setting(std::string(failure.what()) +
                               "; correct that line of the settings file");
    }
    return tree;
}

}
