# Declares a static library from every .cpp file below the calling folder.
# Headers are included by their path below Libraries/.
function(wisteriahatch_library name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
  target_link_libraries(${name} PUBLIC ${ARGN} Threads::Threads)
endfunction()

# Declares a program from every .cpp file in the calling folder.
function(wisteriahatch_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()
