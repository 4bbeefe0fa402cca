# Libraries and helper functions shared by all packages.
find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(absl REQUIRED)
find_package(ZLIB REQUIRED)
if(NOT KUMQUAT_DEPLOY)
  find_package(rapidcheck REQUIRED)
endif()
find_package(Boost 1.74 REQUIRED COMPONENTS fiber context)

# Adds the library kumquat_<name> from SOURCES, linked to DEPENDS.
function(kumquat_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(kumquat_${name} STATIC ${ARG_SOURCES})
  target_include_directories(kumquat_${name} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  # Designated initializers intentionally omit members that keep their defaults.
  target_compile_options(kumquat_${name} PRIVATE -Wall -Wextra -Wshadow
                                                 -Wno-missing-field-initializers)
  target_link_libraries(kumquat_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# Catch2's main is compiled once and shared by all test programs.
if(NOT KUMQUAT_DEPLOY)
add_library(kumquat_test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)
endif()

# Adds the test program test_<name>. RapidCheck runs with a fixed seed unless RC_PARAMS is set.
function(kumquat_test name)
  if(KUMQUAT_DEPLOY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES})
  target_compile_options(test_${name} PRIVATE -Wall -Wextra -Wshadow
                                              -Wno-missing-field-initializers)
  target_link_libraries(test_${name} PRIVATE kumquat_test_main ${ARG_DEPENDS} rapidcheck
                                             Threads::Threads)
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
