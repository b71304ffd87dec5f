# Turns each schemas/NAME.schema.json into a string constant, so that the programs carry them.
file(GLOB DRAGONFLYGAP_SCHEMAS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/schemas/*.schema.json)
set(DRAGONFLYGAP_SCHEMA_TEXT "#pragma once\n#include <string_view>\nnamespace dragonflygap::schemas\n{\n")
foreach(schema ${DRAGONFLYGAP_SCHEMAS})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${schema})
    get_filename_component(name ${schema} NAME)
    string(REPLACE ".schema.json" "" name ${name})
    file(READ ${schema} text)
    string(APPEND DRAGONFLYGAP_SCHEMA_TEXT
           "inline constexpr std::string_view ${name} = R\"schema(${text})schema\";\n")
endforeach()
string(APPEND DRAGONFLYGAP_SCHEMA_TEXT "}\n")
file(CONFIGURE OUTPUT ${CMAKE_CURRENT_BINARY_DIR}/generated/dragonflygap/schemas.hpp
     CONTENT "${DRAGONFLYGAP_SCHEMA_TEXT}" @ONLY)
