# wigeonstair_library(NAME SOURCES ... LIBRARIES ...): a static library of one topic.
function(wigeonstair_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/libraries)
  target_include_directories(${name} SYSTEM PUBLIC ${WIGEONSTAIR_DEPENDENCIES}/include)
  target_link_libraries(${name} PUBLIC ${ARG_LIBRARIES} Threads::Threads)
endfunction()

# wigeonstair_program(NAME SOURCES ... LIBRARIES ...): one installed binary.
function(wigeonstair_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_definitions(${name} PRIVATE WIGEONSTAIR_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES})
endfunction()

# wigeonstair_test(NAME SOURCES ... LIBRARIES ...): one Catch2 test binary, run by ctest.
function(wigeonstair_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE test_main rapidcheck ${ARG_LIBRARIES})
  add_test(NAME ${name} COMMAND ${name} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
