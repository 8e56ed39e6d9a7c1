# One helper per kind of target, so that a folder's CMakeLists.txt says only
# what is particular to it.

set(EndiverailSourceRoot "${CMAKE_CURRENT_LIST_DIR}/..")

function(endiverail_common Target)
  target_compile_features(${Target} PUBLIC cxx_std_20)
  target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic
                                           -Wshadow=local -Werror=return-type)
  target_include_directories(${Target} PUBLIC "${EndiverailSourceRoot}/src/libs")
endfunction()

# endiverail_add_library(name SOURCES a.cpp ... DEPENDS lib ...)
function(endiverail_add_library Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(endiverail_${Name} STATIC ${Arg_SOURCES})
  endiverail_common(endiverail_${Name})
  target_link_libraries(endiverail_${Name} PUBLIC ${Arg_DEPENDS})
endfunction()

# endiverail_add_program(name SOURCES a.cpp ... DEPENDS lib ...)
function(endiverail_add_program Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES})
  endiverail_common(${Name})
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS})
endfunction()

# endiverail_add_test(name SOURCES a.cpp ... DEPENDS lib ... [PARTS tag ...])
# The cases of each tag in PARTS run as a test of their own, beside the others.
function(endiverail_add_test Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS;PARTS" ${ARGN})
  add_executable(test_${Name} ${Arg_SOURCES})
  endiverail_common(test_${Name})
  target_link_libraries(test_${Name} PRIVATE ${Arg_DEPENDS} endiverail_testmain)
  set(Others "")
  if(Arg_PARTS)
    # A filter of tags would run the hidden cases, too.
    set(Others "~[.]")
  endif()
  set(Tests ${Name})
  foreach(Part ${Arg_PARTS})
    add_test(NAME ${Name}_${Part} COMMAND test_${Name} "[${Part}]")
    string(APPEND Others "~[${Part}]")
    list(APPEND Tests ${Name}_${Part})
  endforeach()
  add_test(NAME ${Name} COMMAND test_${Name} ${Others})
  set_tests_properties(${Tests} PROPERTIES
    TIMEOUT 600
    # Fuzzing takes the same path in every run; scripts/fuzz takes new ones.
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=1000")
endfunction()
