# Third-party libraries, each available as a target or through find_package.
find_package(Boost 1.74 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(YAML_CPP REQUIRED IMPORTED_TARGET yaml-cpp)
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(LIBCRYPTO REQUIRED IMPORTED_TARGET libcrypto)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_package(fmt REQUIRED)

# easylogging++ ships as one source file that its users compile.
find_path(EASYLOGGING_DIR easylogging++.cc REQUIRED)
add_library(easylogging STATIC EXCLUDE_FROM_ALL ${EASYLOGGING_DIR}/easylogging++.cc)
target_compile_definitions(easylogging PUBLIC ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING
                                              ELPP_THREAD_SAFE)
target_include_directories(easylogging SYSTEM PUBLIC ${EASYLOGGING_DIR})

find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
add_library(restinio INTERFACE)
target_compile_definitions(restinio INTERFACE RESTINIO_USE_BOOST_ASIO)
target_link_libraries(restinio INTERFACE ${HTTP_PARSER_LIBRARY} fmt::fmt Boost::headers Threads::Threads)

find_library(OPENTRACING_LIBRARY opentracing REQUIRED)
add_library(opentracing INTERFACE)
target_link_libraries(opentracing INTERFACE ${OPENTRACING_LIBRARY})

if(AMARANTHLANE_BUILD_TESTS)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
  find_package(benchmark REQUIRED)
endif()
