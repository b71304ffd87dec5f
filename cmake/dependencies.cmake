# Every library comes as a Debian package; tools/packages names them.
find_package(Threads REQUIRED)
find_package(nng REQUIRED)
find_package(prometheus-cpp REQUIRED COMPONENTS core)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent libevent_pthreads)
find_path(DRAGONFLYGAP_EASYLOGGING_DIR easylogging++.cc REQUIRED)

add_library(dragonflygap_easylogging OBJECT ${DRAGONFLYGAP_EASYLOGGING_DIR}/easylogging++.cc)
target_compile_definitions(
    dragonflygap_easylogging
    PUBLIC ELPP_NO_DEFAULT_LOG_FILE ELPP_THREAD_SAFE ELPP_NO_LOG_TO_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_compile_options(dragonflygap_easylogging PRIVATE -w)

add_library(dragonflygap_dependencies INTERFACE)
target_compile_definitions(dragonflygap_dependencies INTERFACE MSGPACK_NO_BOOST)
target_link_libraries(
    dragonflygap_dependencies
    INTERFACE dragonflygap_easylogging
              $<TARGET_OBJECTS:dragonflygap_easylogging>
              PkgConfig::LIBEVENT
              nng::nng
              prometheus-cpp::core
              boost_program_options
              xxhash
              Threads::Threads)
