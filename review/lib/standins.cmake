# Adds the stand-ins to the build of the project without its tests.
function(add_review_standins)
  set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  file(GLOB common_sources ${CMAKE_SOURCE_DIR}/standins/common/*.cpp)
  file(GLOB store_sources ${CMAKE_SOURCE_DIR}/standins/store/*.cpp)
  file(GLOB proxy_sources ${CMAKE_SOURCE_DIR}/standins/proxy/*.cpp)
  list(FILTER store_sources EXCLUDE REGEX "/main\\.cpp$")
  list(FILTER proxy_sources EXCLUDE REGEX "/main\\.cpp$")
  add_library(review_standins STATIC
    ${common_sources} ${store_sources} ${proxy_sources}
    ${CMAKE_SOURCE_DIR}/platform/standins/metadatastore.cpp
    ${CMAKE_SOURCE_DIR}/platform/standins/taskrunner.cpp)
  target_include_directories(review_standins PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(review_standins
    PUBLIC project_options network_http nlohmann_json::nlohmann_json
           Threads::Threads)
  target_compile_definitions(review_standins PUBLIC ASIO_STANDALONE)
  foreach(program
      platform_store=platform/standins/storemain.cpp
      platform_runner=platform/standins/runnermain.cpp
      proxy=standins/proxy/main.cpp)
    string(REPLACE "=" ";" parts ${program})
    list(GET parts 0 name)
    list(GET parts 1 source)
    add_executable(standin_${name} ${CMAKE_SOURCE_DIR}/${source})
    target_link_libraries(standin_${name} PRIVATE review_standins)
  endforeach()
endfunction()
cmake_language(DEFER CALL add_review_standins)
