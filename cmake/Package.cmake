# One folder is one package: a static library of the folder's sources and, if
# it holds *_test.cc files, a test program of the same name.
#
#   quartzhoist_package(NAME LIBRARIES lib...)

find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(CRYPTO REQUIRED IMPORTED_TARGET libcrypto)
if(QUARTZHOIST_TESTS)
  find_package(rapidcheck REQUIRED)
  find_package(Boost 1.74 REQUIRED COMPONENTS unit_test_framework)
endif()

function(quartzhoist_target_options target)
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR})
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow=local
    -Wno-missing-field-initializers
    # GCC 12 warns of string's own copying (GCC bug 105651).
    -Wno-restrict)
  if(QUARTZHOIST_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
endfunction()

function(quartzhoist_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  quartzhoist_target_options(${name})
  target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES})
endfunction()

function(quartzhoist_package name)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "(_test|_main)\\.cc$")
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  add_library(quartzhoist_${name} STATIC ${sources})
  quartzhoist_target_options(quartzhoist_${name})
  target_link_libraries(quartzhoist_${name} PUBLIC ${ARG_LIBRARIES})
  if(tests AND QUARTZHOIST_TESTS)
    quartzhoist_program(${name}_tests SOURCES ${tests} LIBRARIES
      quartzhoist_${name} rapidcheck Boost::unit_test_framework)
    target_compile_definitions(${name}_tests PRIVATE
      BOOST_TEST_DYN_LINK
      QUARTZHOIST_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
      QUARTZHOIST_BINARY_DIR="${PROJECT_BINARY_DIR}")
    # The file that defines the module gets the test program's main().
    list(GET tests 0 first_test)
    set_source_files_properties(${first_test} PROPERTIES
      COMPILE_DEFINITIONS BOOST_TEST_MODULE=${name})
    add_test(NAME ${name} COMMAND ${PROJECT_SOURCE_DIR}/scripts/run-tests
      ${name} $<TARGET_FILE:${name}_tests>)
    # Properties draw their cases from a fixed seed: the same verdict each run.
    set_tests_properties(${name} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=200" TIMEOUT 600)
  endif()
endfunction()
